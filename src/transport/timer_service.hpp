#ifndef AUBURNWEIR_TRANSPORT_TIMER_SERVICE_HPP
#define AUBURNWEIR_TRANSPORT_TIMER_SERVICE_HPP

#include "state/time.hpp"
#include "transport/asio.hpp"

#include <functional>
#include <memory>

namespace auburnweir::transport
{

/// Cancels a subscription on destruction. A handler that is running at that time still finishes.
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

/// Calls handlers periodically or after a delay, on the event loop of one worker. Thread-safe.
class timer_service
{
public:
    using handler = std::function<void()>;

    explicit timer_service(net::io_context& io)
        : io_(io)
    {
    }

    /// Calls `on_expiry` every `period`, for the first time after one period.
    [[nodiscard]] timer_subscription every(state::duration period, handler on_expiry);

    /// Calls `on_expiry` once, after `delay`.
    void after(state::duration delay, handler on_expiry);

private:
    net::io_context& io_;
};

} // namespace auburnweir::transport

#endif
