#ifndef AUBURNWEIR_COORDINATION_ORDER_LEASE_HPP
#define AUBURNWEIR_COORDINATION_ORDER_LEASE_HPP

#include "state/configuration.hpp"
#include "state/lease_record.hpp"

#include <optional>

namespace auburnweir::coordination
{

/// Bounds on which the safety of leases depends. They are stated to operators and not measured.
struct lease_settings
{
    state::duration length = std::chrono::seconds{10};
    state::duration clock_bound = std::chrono::seconds{1};    ///< maximum difference of wall clocks
    state::duration delivery_bound = std::chrono::seconds{2}; ///< maximum delivery time of an order
    /// Minimum time between two calls of one holder if another has acted between them; 0: no bound.
    state::duration return_interval{0};
};

/// The record to write in order to acquire or renew the lease; null while another holder may still
/// act, or while this instance is barred because it acted before that holder.
///
/// @param current  the row as read; null when it is absent
std::optional<state::lease_record> lease_to_write(
    std::optional<state::lease_record> const& current, state::instance_id const& self,
    state::wall_time now, lease_settings const& settings);

/// Whether the holder of a lease may still act.
bool may_be_held(
    state::lease_record const& lease, state::wall_time now, lease_settings const& settings);

/// Whether an order may be sent at `now` under a lease that this instance wrote.
///
/// To a backend server that checks fencing numbers, orders may be sent until the lease ends by the
/// own clock. To one that ignores them, only while the order certainly arrives before a later
/// holder may act.
bool may_send_order(
    state::lease_record const& lease, state::instance_id const& self, state::fencing_mode mode,
    state::wall_time now, lease_settings const& settings);

} // namespace auburnweir::coordination

#endif
