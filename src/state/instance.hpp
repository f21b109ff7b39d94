#ifndef AUBURNWEIR_STATE_INSTANCE_HPP
#define AUBURNWEIR_STATE_INSTANCE_HPP

#include "state/configuration.hpp"
#include "state/ids.hpp"

namespace auburnweir::state
{

/// An entry instance, as listed by the platform or described by a peer.
struct instance
{
    instance_id id;
    incarnation_number incarnation;
    failure_domain_id failure_domain;
    region_id region;
    endpoint peer_address;
    bool leaving = false;

    friend bool operator==(instance const&, instance const&) = default;
};

} // namespace auburnweir::state

#endif
