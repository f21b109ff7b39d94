#ifndef AUBURNWEIR_STATE_LEASE_RECORD_HPP
#define AUBURNWEIR_STATE_LEASE_RECORD_HPP

#include "state/ids.hpp"
#include "state/time.hpp"

#include <optional>
#include <vector>

namespace auburnweir::state
{

/// An earlier holder of a lease.
struct earlier_holder
{
    instance_id id;
    wall_time acted_until; ///< its calls have arrived by then

    friend bool operator==(earlier_holder const&, earlier_holder const&) = default;
};

/// Who acted under a lease, and until when. Kept because holders must not act in the order A, B, A
/// within a short time.
struct lease_history
{
    /// The calls of the lease's holder have arrived by then; null: it has made none.
    std::optional<wall_time> acted_until;
    std::vector<earlier_holder> earlier; ///< the oldest first
    /// Any instance that is not named may have acted until then; null: none has.
    std::optional<wall_time> others_acted_until;

    friend bool operator==(lease_history const&, lease_history const&) = default;
};

/// Row of the lease that lets one instance send orders to a service's backend servers.
struct lease_record
{
    instance_id holder;
    fencing_number fencing; ///< grows with each change of holder
    wall_time until;
    std::optional<lease_history> history{}; ///< null in rows of earlier versions

    friend bool operator==(lease_record const&, lease_record const&) = default;
};

} // namespace auburnweir::state

#endif
