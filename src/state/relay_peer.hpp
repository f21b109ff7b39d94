#ifndef AUBURNWEIR_STATE_RELAY_PEER_HPP
#define AUBURNWEIR_STATE_RELAY_PEER_HPP

#include "state/configuration.hpp"
#include "state/ids.hpp"

#include <map>
#include <vector>

namespace auburnweir::state
{

/// An instance that relays requests to the servers of a service for instances that don't reach
/// them.
struct relay_peer
{
    instance_id id;
    incarnation_number incarnation;
    failure_domain_id failure_domain;
    endpoint address; ///< for requests to be relayed

    friend bool operator==(relay_peer const&, relay_peer const&) = default;
};

/// Peers that reach a service, by service; empty when no instance reaches it.
using relay_peers = std::map<service_id, std::vector<relay_peer>>;

} // namespace auburnweir::state

#endif
