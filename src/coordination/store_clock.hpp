#ifndef AUBURNWEIR_COORDINATION_STORE_CLOCK_HPP
#define AUBURNWEIR_COORDINATION_STORE_CLOCK_HPP

#include "state/time.hpp"

#include <optional>
#include <vector>

namespace auburnweir::coordination
{

/// Time on the store's steady clock.
using store_time = std::chrono::milliseconds;

/// Bounds of the store's steady clock, estimated from its readings in the store's responses.
///
/// A reading was taken between the request and its response, which gives a lower and an upper
/// bound.
class store_clock
{
public:
    /// Records a reading from a response that arrived at `received_at` to a request sent at
    /// `sent_at`.
    void observe(store_time reading, state::time_point sent_at, state::time_point received_at);

    bool has_reading() const { return has_reading_; }

    /// Lower bound of the store's clock at `now`.
    store_time earliest(state::time_point now) const;

    /// Upper bound of the store's clock at `now`.
    store_time latest(state::time_point now) const;

private:
    bool has_reading_ = false;
    store_time reading_{0};
    state::time_point sent_at_{};
    state::time_point received_at_{};
};

/// Median of the instances' offsets, each true time minus the store's clock. Wall clocks of a
/// minority that jump do not change it. Null without any offset.
std::optional<std::chrono::milliseconds> agreed_offset(
    std::vector<std::chrono::milliseconds> offsets);

} // namespace auburnweir::coordination

#endif
