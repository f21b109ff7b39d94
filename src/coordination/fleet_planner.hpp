#ifndef AUBURNWEIR_COORDINATION_FLEET_PLANNER_HPP
#define AUBURNWEIR_COORDINATION_FLEET_PLANNER_HPP

#include "state/fleet.hpp"
#include "state/route_set.hpp"
#include "state/server_table.hpp"

#include <vector>

namespace auburnweir::coordination
{

/// How a fleet is made up of reclaimable and on-demand engines.
struct fleet_settings
{
    double reclaimable_factor = 1.7; ///< reclaimable engines for each that the operators began with
    double needed_share = 0.8; ///< of the operators' number, below which on-demand ones fill up
    std::int64_t on_demand_kept = 0; ///< on-demand engines in each failure domain at all times
};

/// Engines that take requests, by group.
state::fleet_counts ready_engines(std::vector<state::server_view> const& servers);

/// The numbers to order for one service.
///
/// Most of a fleet is reclaimable, spread over all failure domains. On-demand engines stay until
/// reclaimable ones are ready, and fill up what a reclaim leaves short.
///
/// @param base  on-demand engines that the operators began with, by failure domain
/// @param ready  engines that take requests now
state::fleet_counts plan_fleet(
    state::routed_service const& service, state::fleet_counts const& initial_fleet,
    state::fleet_counts const& ready, fleet_settings const& settings = {});

} // namespace auburnweir::coordination

#endif
