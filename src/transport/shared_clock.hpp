#ifndef AUBURNWEIR_TRANSPORT_SHARED_CLOCK_HPP
#define AUBURNWEIR_TRANSPORT_SHARED_CLOCK_HPP

#include "coordination/store_clock.hpp"
#include "transport/clock.hpp"

#include <mutex>

namespace auburnweir::transport
{

/// Clocks that all instances agree on: the store clock, and true time, which is derived from it.
/// Thread-safe; its lock is taken last, and no other lock is taken under it.
class shared_clock
{
public:
    void observe(
        coordination::store_time reading, state::time_point requested_at,
        state::time_point received_at)
    {
        std::lock_guard lock(mutex_);
        store_.observe(reading, requested_at, received_at);
    }

    /// Sets the agreed difference of true time and the store clock; null changes nothing.
    void apply_agreed_offset(std::optional<std::chrono::milliseconds> offset)
    {
        std::lock_guard lock(mutex_);
        if (offset)
            offset_ = offset;
    }

    std::optional<std::chrono::milliseconds> agreed_offset() const
    {
        std::lock_guard lock(mutex_);
        return offset_;
    }

    /// The local wall clock less the store clock; null before the first reading of the store.
    std::optional<std::chrono::milliseconds> own_offset() const
    {
        std::lock_guard lock(mutex_);
        if (!store_.has_reading())
            return std::nullopt;
        return wall_now().time_since_epoch() - store_.earliest(now());
    }

    /// Estimate of true time; the local wall clock until an offset is agreed.
    state::wall_time true_time() const
    {
        std::lock_guard lock(mutex_);
        if (!store_.has_reading() || !offset_)
            return wall_now();
        return state::wall_time{store_.earliest(now()) + *offset_};
    }

    /// Earliest current time of the store clock, in the unit of lease times.
    state::wall_time store_earliest() const
    {
        std::lock_guard lock(mutex_);
        return state::wall_time{store_.earliest(now())};
    }

    /// Latest current time of the store clock, in the unit of lease times.
    state::wall_time store_latest() const
    {
        std::lock_guard lock(mutex_);
        return state::wall_time{store_.latest(now())};
    }

private:
    mutable std::mutex mutex_;
    coordination::store_clock store_;
    std::optional<std::chrono::milliseconds> offset_;
};

} // namespace auburnweir::transport

#endif
