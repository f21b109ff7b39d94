#ifndef AUBURNWEIR_TRANSPORT_TIMER_SERVICE_HPP
#define AUBURNWEIR_TRANSPORT_TIMER_SERVICE_HPP

#include "state/time.hpp"
#include "transport/asio.hpp"

#include <functional>
#include <memory>

namespace auburnweir::transport
{

/// Ends a subscription when it goes out of scope. A handler that runs just then finishes.
class timer_subscription
{
public:
    timer_subscription() = default;

    explicit timer_subscription(std::function<void()> cancel)
        : cancel_(std::move(cancel))
    {
    }

    timer_subscription(timer_subscription&& other) noexcept
        : cancel_(std::exchange(other.cancel_, nullptr))
    {
    }

    timer_subscription& operator=(timer_subscription&& other) noexcept
    {
        std::swap(cancel_, other.cancel_);
        return *this;
    }

    ~timer_subscription()
    {
        if (cancel_)
            cancel_();
    }

private:
    std::function<void()> cancel_;
};

/// Calls subscribers at set times, on one worker's loop. Thread-safe.
class timer_service
{
public:
    using handler = std::function<void()>;

    explicit timer_service(net::io_context& io)
        : io_(io)
    {
    }

    /// Calls `on_time` each `period`, first after one period.
    [[nodiscard]] timer_subscription every(state::duration period, handler on_time);

    /// Calls `on_time` once, `delay` from now.
    void after(state::duration delay, handler on_time);

private:
    net::io_context& io_;
};

} // namespace auburnweir::transport

#endif
