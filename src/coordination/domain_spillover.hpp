#ifndef AUBURNWEIR_COORDINATION_DOMAIN_SPILLOVER_HPP
#define AUBURNWEIR_COORDINATION_DOMAIN_SPILLOVER_HPP

#include "state/server_table.hpp"

#include <span>
#include <string_view>
#include <vector>

namespace auburnweir::coordination
{

/// Share of the requests that arrive in `domain` which its own servers should serve, from 0 to 1.
///
/// Answers the pattern of a reclaim, or a series of them: a domain's servers go at once and come
/// back one by one, while its callers stay. An instance can't see from its own few requests that
/// the servers left are full, but it sees that they are few. Each domain is taken to have the same
/// demand. A domain keeps as many requests as its servers can take beside the requests that the
/// domains do not keep, which are spread over all servers.
double own_domain_share(
    std::vector<state::server_view> const& servers, state::failure_domain_id const& domain);

/// The same, from the capacities of all domains.
/// @param own  one of them: the capacity of the domain in question
double own_domain_share(std::span<double const> capacities, double own);

/// Whether requests of this affinity stay in `domain` when a share of all requests does. Instances
/// agree on the answer, so that equal prompts go to the same server.
bool stays_in_domain(
    std::string_view affinity, state::failure_domain_id const& domain, double share);

} // namespace auburnweir::coordination

#endif
