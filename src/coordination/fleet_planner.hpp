#ifndef AUBURNWEIR_COORDINATION_FLEET_PLANNER_HPP
#define AUBURNWEIR_COORDINATION_FLEET_PLANNER_HPP

#include "state/fleet.hpp"
#include "state/route_set.hpp"
#include "state/server_table.hpp"

#include <optional>
#include <set>
#include <vector>

namespace auburnweir::coordination
{

/// Proportions of reclaimable and on-demand engines in a fleet.
struct fleet_settings
{
    double reclaimable_factor = 1.7; ///< reclaimable engines per initial on-demand engine
    /// Share of the initial number of engines; below it on-demand engines are added.
    double needed_share = 0.8;
    std::int64_t min_on_demand = 0; ///< on-demand engines kept in each failure domain
};

/// Counts the engines that accept requests, by group.
state::fleet_counts ready_engines(std::vector<state::server_view> const& servers);

/// Plans the number of engines to order in each group of one service.
///
/// Most of a fleet is reclaimable, distributed over all failure domains. On-demand engines are kept
/// until reclaimable ones are ready, and replace engines that a reclaim removes.
///
/// @param initial_fleet  on-demand engines that the operators started with, by failure domain
/// @param ready  engines that accept requests now
/// @param evacuated  domains in which nothing is ordered; their engines count as reclaimed and are
///                   replaced in the other domains
state::fleet_counts plan_fleet(
    state::routed_service const& service, state::fleet_counts const& initial_fleet,
    state::fleet_counts const& ready, std::set<state::failure_domain_id> const& evacuated,
    fleet_settings const& settings = {});

/// The last order that an instance placed for a fleet group.
struct placed_order
{
    std::int64_t count = 0;
    state::time_point at{};
    bool accepted = false;
};

/// Whether to order a number of engines for a group now.
///
/// An accepted order is repeated only when engines are missing that have had the time to start.
/// @param last  null before the first order
/// @param running  engines of the group that accept requests
bool order_is_due(
    std::optional<placed_order> const& last, std::int64_t count, std::int64_t running,
    state::duration startup_time, state::time_point now);

} // namespace auburnweir::coordination

#endif
