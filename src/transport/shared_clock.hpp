#ifndef AUBURNWEIR_TRANSPORT_SHARED_CLOCK_HPP
#define AUBURNWEIR_TRANSPORT_SHARED_CLOCK_HPP

#include "coordination/true_time.hpp"
#include "transport/clock.hpp"

#include <mutex>

namespace auburnweir::transport
{

/// Time that all instances agree on: the store's steady clock, and from it the true time of day.
/// Thread-safe; its lock is taken last and alone.
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

    /// Takes the instances' agreement on true time less the store's clock; null changes nothing.
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

    /// Own wall clock less the store's; null before the store was heard.
    std::optional<std::chrono::milliseconds> own_offset() const
    {
        std::lock_guard lock(mutex_);
        if (!store_.known())
            return std::nullopt;
        return wall_now().time_since_epoch() - store_.earliest(now());
    }

    /// Estimate of true time; the own wall clock while nothing better is known.
    state::wall_time true_time() const
    {
        std::lock_guard lock(mutex_);
        if (!store_.known() || !offset_)
            return wall_now();
        return state::wall_time{store_.earliest(now()) + *offset_};
    }

    /// Bounds of the store's clock, as times that leases are written in.
    state::wall_time store_earliest() const
    {
        std::lock_guard lock(mutex_);
        return state::wall_time{store_.earliest(now())};
    }

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
