#ifndef AUBURNWEIR_STATE_LEASE_RECORD_HPP
#define AUBURNWEIR_STATE_LEASE_RECORD_HPP

#include "state/ids.hpp"
#include "state/time.hpp"

namespace auburnweir::state
{

/// Row of the lease that lets one instance send orders to a service's backend servers.
struct lease_record
{
    instance_id holder;
    fencing_number fencing; ///< grows with each change of holder
    wall_time until;

    friend bool operator==(lease_record const&, lease_record const&) = default;
};

} // namespace auburnweir::state

#endif
