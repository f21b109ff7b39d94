#ifndef AUBURNWEIR_STATE_COUNTERS_HPP
#define AUBURNWEIR_STATE_COUNTERS_HPP

#include "state/reasons.hpp"

#include <array>
#include <atomic>
#include <cstdint>

namespace auburnweir::state
{

/// One atomic counter for each value of `Enum`, which ends in `count_`. Thread-safe, lock-free.
template <class Enum>
class enum_counters
{
public:
    static constexpr std::size_t size = static_cast<std::size_t>(Enum::count_);

    void increment(Enum which, std::uint64_t by = 1)
    {
        values_[static_cast<std::size_t>(which)].fetch_add(by, std::memory_order_relaxed);
    }

    std::uint64_t value(Enum which) const
    {
        return values_[static_cast<std::size_t>(which)].load(std::memory_order_relaxed);
    }

    /// Calls `visit(Enum, count)` for each counter.
    template <class Visitor>
    void for_each(Visitor&& visit) const
    {
        for (std::size_t i = 0; i < size; ++i)
            visit(static_cast<Enum>(i), values_[i].load(std::memory_order_relaxed));
    }

private:
    std::array<std::atomic<std::uint64_t>, size> values_{};
};

/// All counters of one process.
class counters
{
public:
    void increment(refusal_reason reason) { refusals_.increment(reason); }
    void increment(retry_reason reason) { retries_.increment(reason); }
    void increment(give_up_reason reason) { give_ups_.increment(reason); }
    void increment(event_counter event, std::uint64_t by = 1) { events_.increment(event, by); }

    enum_counters<refusal_reason> const& refusals() const { return refusals_; }
    enum_counters<retry_reason> const& retries() const { return retries_; }
    enum_counters<give_up_reason> const& give_ups() const { return give_ups_; }
    enum_counters<event_counter> const& events() const { return events_; }

private:
    enum_counters<refusal_reason> refusals_;
    enum_counters<retry_reason> retries_;
    enum_counters<give_up_reason> give_ups_;
    enum_counters<event_counter> events_;
};

} // namespace auburnweir::state

#endif
