#ifndef AUBURNWEIR_STATE_FLEET_HPP
#define AUBURNWEIR_STATE_FLEET_HPP

#include "state/ids.hpp"

#include <map>

namespace auburnweir::state
{

/// The reclaimable or the on-demand engines of a service in one failure domain.
struct fleet_group
{
    service_id service;
    failure_domain_id failure_domain;
    bool reclaimable = false;

    friend auto operator<=>(fleet_group const&, fleet_group const&) = default;
};

/// Actual or ordered number of engines of each group.
using fleet_counts = std::map<fleet_group, std::int64_t>;

} // namespace auburnweir::state

#endif
