#ifndef AUBURNWEIR_COORDINATION_COLD_SHARES_HPP
#define AUBURNWEIR_COORDINATION_COLD_SHARES_HPP

#include "state/cold_limit.hpp"
#include "state/route_set.hpp"

namespace auburnweir::coordination
{

/// By how much a cold server may get more than it tolerates, in any second.
struct cold_bounds
{
    double overrun = 1.5; ///< factor of the rate that it tolerates
    double slack = 5;     ///< requests beyond that
};

/// Number of instances that send to a cold server.
std::uint64_t cold_owner_count(
    state::cold_service const& service, cold_bounds const& bounds, std::uint64_t instances);

/// Whether the instance with this rank is one of the owners of a server. Instances that agree on
/// the ranks agree on the owners without messages.
bool owns_cold_server(
    state::backend_id const& server, state::instance_rank rank, std::uint64_t owners);

/// Time between two requests of the instance with this rank to a cold server; null: it owns none,
/// or its rank is unknown.
std::optional<state::duration> cold_send_interval(
    state::backend_id const& server, state::instance_rank rank, state::cold_service const& service,
    cold_bounds const& bounds);

/// The policy for the services of a configuration.
/// @param report_period  time in which all instances that reach the holder learn their ranks
state::cold_policy cold_policy_for(
    std::vector<state::routed_service> const& services, cold_bounds const& bounds,
    state::duration report_period);

} // namespace auburnweir::coordination

#endif
