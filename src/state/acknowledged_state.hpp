#ifndef AUBURNWEIR_STATE_ACKNOWLEDGED_STATE_HPP
#define AUBURNWEIR_STATE_ACKNOWLEDGED_STATE_HPP

#include "state/configuration_table.hpp"
#include "state/ids.hpp"
#include "state/lock_rank.hpp"
#include "state/usage_table.hpp"

#include <algorithm>

namespace auburnweir::state
{

/// What the store has acknowledged and may no longer have after it came back from an older copy.
/// Instances tell each other, so that one that knows it is enough.
struct acknowledged_state
{
    window_number reported_through;      ///< last usage window whose report may have been sent
    configuration_version configuration; ///< highest that was in force at an instance

    friend bool operator==(acknowledged_state const&, acknowledged_state const&) = default;
};

/// The highest acknowledged values that this instance knows; they never decrease.
///
/// Thread-safe; takes `lock_rank::acknowledged_state`.
class acknowledged_state_table
{
public:
    void merge(acknowledged_state const& known)
    {
        ranked_lock lock(mutex_);
        state_.reported_through = std::max(state_.reported_through, known.reported_through);
        state_.configuration = std::max(state_.configuration, known.configuration);
    }

    acknowledged_state current() const
    {
        ranked_lock lock(mutex_);
        return state_;
    }

private:
    mutable ranked_mutex mutex_{lock_rank::acknowledged_state};
    acknowledged_state state_;
};

} // namespace auburnweir::state

#endif
