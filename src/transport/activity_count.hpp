#ifndef AUBURNWEIR_TRANSPORT_ACTIVITY_COUNT_HPP
#define AUBURNWEIR_TRANSPORT_ACTIVITY_COUNT_HPP

#include <atomic>
#include <cstdint>
#include <utility>

namespace auburnweir::transport
{

/// Counts requests in progress, so that a shutdown can wait for them.
class activity_count
{
public:
    /// Counts one request until it is destroyed.
    class scope
    {
    public:
        explicit scope(activity_count& owner)
            : owner_(&owner)
        {
            ++owner_->count_;
        }
        scope(scope&& other) noexcept
            : owner_(std::exchange(other.owner_, nullptr))
        {
        }
        scope& operator=(scope&&) = delete;
        ~scope()
        {
            if (owner_)
                --owner_->count_;
        }

    private:
        activity_count* owner_;
    };

    scope begin() { return scope{*this}; }
    std::int64_t value() const { return count_; }

private:
    std::atomic<std::int64_t> count_{0};
};

} // namespace auburnweir::transport

#endif
