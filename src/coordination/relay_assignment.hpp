#ifndef AUBURNWEIR_COORDINATION_RELAY_ASSIGNMENT_HPP
#define AUBURNWEIR_COORDINATION_RELAY_ASSIGNMENT_HPP

#include "state/relay_peer.hpp"

#include <set>

namespace auburnweir::coordination
{

/// An instance that could relay requests.
struct relay_candidate
{
    state::relay_peer peer;
    std::set<state::service_id> unreachable; ///< services that it does not reach itself
};

/// Chooses the peers that relay requests for an instance, for each service that it does not reach.
///
/// Answers the pattern in which many instances lose their links to the servers at once: the peers
/// of an instance are a few of those that reach the service, of its own failure domain first, and
/// those of different instances are spread over all, so that links and load stay bounded.
/// @param candidates  without the instance itself
state::relay_peers assign_relays(
    state::instance_id const& instance, state::failure_domain_id const& domain,
    std::set<state::service_id> const& unreachable, std::vector<relay_candidate> const& candidates);

} // namespace auburnweir::coordination

#endif
