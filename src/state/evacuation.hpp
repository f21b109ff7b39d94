#ifndef AUBURNWEIR_STATE_EVACUATION_HPP
#define AUBURNWEIR_STATE_EVACUATION_HPP

#include "state/ids.hpp"
#include "state/store_position.hpp"

#include <set>

namespace auburnweir::state
{

/// Failure domains whose servers get no requests, by the operators' order.
struct evacuations
{
    store_position complete_to; ///< all operator rows up to here are included
    std::set<failure_domain_id> domains;

    friend bool operator==(evacuations const&, evacuations const&) = default;
};

} // namespace auburnweir::state

#endif
