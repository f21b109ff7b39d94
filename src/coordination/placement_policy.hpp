#ifndef AUBURNWEIR_COORDINATION_PLACEMENT_POLICY_HPP
#define AUBURNWEIR_COORDINATION_PLACEMENT_POLICY_HPP

#include "state/placement_rule.hpp"
#include "state/route_set.hpp"

#include <map>
#include <string>

namespace auburnweir::coordination
{

using domain_regions = std::map<state::failure_domain_id, state::region_id>;

/// What finds the route and the organisation of a request again in another configuration.
struct placed_request
{
    std::string host;
    std::string path; ///< without query
    std::string key;  ///< of the organisation; empty: none
    state::route_id route;
    state::organisation_id organisation; ///< empty: none
};

/// The failure domains to which requests of a route and an organisation may be sent. Both lists of
/// regions apply; a domain without a known region is permitted only where any is.
/// @param organisation  null: none
state::placement_rule placement_of(
    state::route const& route, state::organisation_quota const* organisation,
    domain_regions const& regions);

/// The rule that permits what both rules permit.
state::placement_rule intersection(state::placement_rule const& a, state::placement_rule const& b);

/// The rule that a configuration sets for a request that another version has admitted: of the
/// route of its name and that of its path, and of its organisation and its key. Those that the
/// configuration does not have, or names more than once, restrict nothing.
state::placement_rule placement_in(
    state::route_set const& routes, placed_request const& request, domain_regions const& regions);

} // namespace auburnweir::coordination

#endif
