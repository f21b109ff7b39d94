#include "transport/timer_service.hpp"

namespace auburnweir::transport
{

namespace
{

/// A periodic subscription. Its pending wait keeps it alive.
struct periodic : std::enable_shared_from_this<periodic>
{
    periodic(net::io_context& io, state::duration period, timer_service::handler on_expiry)
        : timer(io)
        , period(period)
        , on_expiry(std::move(on_expiry))
    {
    }

    void arm()
    {
        timer.expires_after(period);
        timer.async_wait(
            [self = shared_from_this()](error_code error)
            {
                if (error || self->cancelled)
                    return;
                self->on_expiry();
                self->arm();
            });
    }

    net::steady_timer timer;
    state::duration period;
    timer_service::handler on_expiry;
    bool cancelled = false;
};

} // namespace

timer_subscription timer_service::every(state::duration period, handler on_expiry)
{
    auto p = std::make_shared<periodic>(io_, period, std::move(on_expiry));
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

void timer_service::after(state::duration delay, handler on_expiry)
{
    auto timer = std::make_shared<net::steady_timer>(io_, delay);
    net::post(
        io_,
        [timer, on_expiry = std::move(on_expiry)]
        {
            timer->async_wait(
                [timer, on_expiry](error_code error)
                {
                    if (!error)
                        on_expiry();
                });
        });
}

} // namespace auburnweir::transport
