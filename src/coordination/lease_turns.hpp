#ifndef AUBURNWEIR_COORDINATION_LEASE_TURNS_HPP
#define AUBURNWEIR_COORDINATION_LEASE_TURNS_HPP

#include "coordination/order_lease.hpp"

namespace auburnweir::coordination
{

/// Number of earlier holders that a lease's row names.
inline constexpr std::size_t max_earlier_holders = 16;

/// The time until which an instance must not take the lease of another holder, because it acted
/// before that holder; null: it may take it at once.
std::optional<state::wall_time> barred_until(
    state::lease_record const& row, state::instance_id const& self, lease_settings const& settings);

/// Upper bound of the arrival of calls that an instance made under the row that it replaces, for
/// example in a process that was killed; null without any.
std::optional<state::wall_time> inherited_acted_until(
    state::lease_record const& previous, state::instance_id const& self);

/// History of a lease in force that `self` takes or renews.
///
/// @param previous  the row that it replaces
state::lease_history next_history(
    state::lease_record const& previous, state::instance_id const& self, state::wall_time now,
    state::wall_time until, lease_settings const& settings);

/// History of a lease of which it is unknown who held it before `now`.
state::lease_history history_after_gap(state::wall_time now, state::wall_time until);

/// The row that ends a lease at `now`, so that another instance can take it at once.
///
/// @param acted_until  upper bound of the arrival of the holder's last call; null without a call
state::lease_record released_lease(
    state::lease_record lease, state::wall_time now, std::optional<state::wall_time> acted_until);

} // namespace auburnweir::coordination

#endif
