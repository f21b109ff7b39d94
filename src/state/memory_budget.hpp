#ifndef AUBURNWEIR_STATE_MEMORY_BUDGET_HPP
#define AUBURNWEIR_STATE_MEMORY_BUDGET_HPP

#include "state/ids.hpp"

#include <atomic>
#include <utility>

namespace auburnweir::state
{

/// Bytes of a buffer that are charged to a budget. Small ones are not: their number is limited by
/// that of the connections, and a budget that large ones use up must not fail them.
constexpr byte_count charged_bytes(std::size_t capacity)
{
    constexpr std::size_t uncharged = 4096;
    return byte_count{static_cast<std::int64_t>(capacity > uncharged ? capacity - uncharged : 0)};
}

/// Limit of the memory for the bodies that this process buffers, over all requests.
///
/// Thread-safe, lock-free. Outlives its reservations.
class memory_budget
{
public:
    explicit memory_budget(byte_count capacity)
        : capacity_(capacity)
    {
    }

    memory_budget(memory_budget const&) = delete;
    memory_budget& operator=(memory_budget const&) = delete;

    byte_count capacity() const { return capacity_; }
    byte_count in_use() const { return byte_count{in_use_.load(std::memory_order_relaxed)}; }

private:
    friend class memory_reservation;

    /// @param left  bytes that the budget must have left then
    bool try_reserve(byte_count bytes, byte_count left)
    {
        auto used = in_use_.load(std::memory_order_relaxed);
        do
        {
            if (bytes.count() + left.count() > capacity_.count() - used)
                return false;
        } while (!in_use_.compare_exchange_weak(used, used + bytes.count()));
        return true;
    }

    void release(byte_count bytes) { in_use_.fetch_sub(bytes.count()); }

    byte_count const capacity_;
    std::atomic<byte_count::rep> in_use_{0};
};

/// Part of a budget that one request uses; returned on destruction. Not thread-safe.
class memory_reservation
{
public:
    explicit memory_reservation(memory_budget& budget)
        : budget_(&budget)
    {
    }

    memory_reservation(memory_reservation&& other) noexcept
        : budget_(other.budget_)
        , reserved_(std::exchange(other.reserved_, byte_count{}))
    {
    }

    memory_reservation& operator=(memory_reservation&&) = delete;

    ~memory_reservation() { budget_->release(reserved_); }

    /// Reserves more bytes. @return false when the budget has too few left; nothing changes then
    bool try_grow(byte_count bytes)
    {
        if (!budget_->try_reserve(bytes, byte_count{0}))
            return false;
        reserved_ += bytes;
        return true;
    }

    /// Changes the reservation to `bytes`. Grows only while the budget has at least as much left as
    /// this reservation has then: whoever needs much fails before those who need little.
    /// @return false when the budget has too few left; nothing changes then
    bool try_resize_fairly(byte_count bytes)
    {
        if (bytes <= reserved_)
            budget_->release(reserved_ - bytes);
        else if (!budget_->try_reserve(bytes - reserved_, bytes))
            return false;
        reserved_ = bytes;
        return true;
    }

    byte_count reserved() const { return reserved_; }

private:
    memory_budget* budget_;
    byte_count reserved_{0};
};

} // namespace auburnweir::state

#endif
