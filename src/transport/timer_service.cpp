#include "transport/timer_service.hpp"

namespace auburnweir::transport
{

namespace
{

/// One repeating subscription; lives as long as its timer is armed.
struct periodic : std::enable_shared_from_this<periodic>
{
    periodic(net::io_context& io, state::duration period, timer_service::handler on_time)
        : timer(io)
        , period(period)
        , on_time(std::move(on_time))
    {
    }

    void arm()
    {
        timer.expires_after(period);
        timer.async_wait(
            [self = shared_from_this()](error_code fault)
            {
                if (fault || self->cancelled)
                    return;
                self->on_time();
                self->arm();
            });
    }

    net::steady_timer timer;
    state::duration period;
    timer_service::handler on_time;
    bool cancelled = false;
};

} // namespace

timer_subscription timer_service::every(state::duration period, handler on_time)
{
    auto p = std::make_shared<periodic>(io_, period, std::move(on_time));
    net::post(io_, [p] { p->arm(); });
    return timer_subscription{[this, p]
                              {
                                  net::post(
                                      io_,
                                      [p]
                                      {
                                          p->cancelled = true;
                                          p->timer.cancel();
                                      });
                              }};
}

void timer_service::after(state::duration delay, handler on_time)
{
    auto timer = std::make_shared<net::steady_timer>(io_, delay);
    net::post(
        io_,
        [timer, on_time = std::move(on_time)]
        {
            timer->async_wait(
                [timer, on_time](error_code fault)
                {
                    if (!fault)
                        on_time();
                });
        });
}

} // namespace auburnweir::transport
