#ifndef AUBURNWEIR_TRANSPORT_ASYNC_SIGNAL_HPP
#define AUBURNWEIR_TRANSPORT_ASYNC_SIGNAL_HPP

#include "state/time.hpp"
#include "transport/asio.hpp"

#include <atomic>
#include <memory>

namespace auburnweir::transport
{

/// Wakes one waiting coroutine of a worker from any thread. A signal that is raised before the wait
/// is kept; several signals count as one.
class async_signal : public std::enable_shared_from_this<async_signal>
{
public:
    explicit async_signal(net::io_context& io)
        : io_(io)
        , timer_(io)
    {
    }

    /// Thread-safe.
    void notify()
    {
        if (raised_.exchange(true))
            return;
        net::dispatch(io_, [self = shared_from_this()] { self->timer_.cancel(); });
    }

    /// Waits for a signal.
    /// @return false when `timeout` has elapsed without a signal
    net::awaitable<bool> wait(state::duration timeout)
    {
        auto const deadline = net::steady_timer::clock_type::now() + timeout;
        while (!raised_.exchange(false))
        {
            if (net::steady_timer::clock_type::now() >= deadline)
                co_return false;
            timer_.expires_at(deadline);
            // A signal that was raised after the check above cancelled no wait.
            if (raised_.exchange(false))
                break;
            error_code ignored;
            co_await timer_.async_wait(net::redirect_error(net::use_awaitable, ignored));
        }
        co_return true;
    }

private:
    net::io_context& io_;
    net::steady_timer timer_;
    std::atomic<bool> raised_{false};
};

using signal_ptr = std::shared_ptr<async_signal>;

/// Suspends the calling coroutine without blocking the thread.
inline net::awaitable<void> sleep_for(net::io_context& io, state::duration time)
{
    net::steady_timer timer(io, time);
    error_code ignored;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

} // namespace auburnweir::transport

#endif
