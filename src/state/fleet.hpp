#ifndef AUBURNWEIR_STATE_FLEET_HPP
#define AUBURNWEIR_STATE_FLEET_HPP

#include "state/ids.hpp"

#include <map>

namespace auburnweir::state
{

/// One kind of a service's engines in one failure domain.
struct fleet_group
{
    service_id service;
    failure_domain_id failure_domain;
    bool reclaimable = false;

    friend auto operator<=>(fleet_group const&, fleet_group const&) = default;
};

/// How many engines each group has, or is to have.
using fleet_counts = std::map<fleet_group, std::int64_t>;

} // namespace auburnweir::state

#endif
