#ifndef AUBURNWEIR_TRANSPORT_ASYNC_SIGNAL_HPP
#define AUBURNWEIR_TRANSPORT_ASYNC_SIGNAL_HPP

#include "state/time.hpp"
#include "transport/asio.hpp"

#include <atomic>
#include <memory>

namespace auburnweir::transport
{

/// Wakes one waiting coroutine of a worker from any thread. Signals that come before the wait
/// are kept; several are one.
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

    /// Waits for a signal, at most for `limit`.
    /// @return false when the time was over first
    net::awaitable<bool> wait(state::duration limit)
    {
        auto const until = net::steady_timer::clock_type::now() + limit;
        while (!raised_.exchange(false))
        {
            if (net::steady_timer::clock_type::now() >= until)
                co_return false;
            timer_.expires_at(until);
            // A signal since the check above has cancelled nothing yet.
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

/// Suspends a coroutine for `length`.
inline net::awaitable<void> sleep_for(net::io_context& io, state::duration length)
{
    net::steady_timer timer(io, length);
    error_code ignored;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

} // namespace auburnweir::transport

#endif
