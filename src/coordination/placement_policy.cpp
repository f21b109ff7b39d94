#include "coordination/placement_policy.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

using state::any_domain;
using state::permitted_domains;
using state::placement_rule;

bool permits(state::region_list const& list, state::region_id const& region)
{
    return !list || list->contains(region);
}

} // namespace

placement_rule placement_of(
    state::route const& route, state::organisation_quota const* organisation,
    domain_regions const& regions)
{
    static state::region_list const all;
    auto const& of_organisation = organisation ? organisation->regions : all;
    if (!route.regions && !of_organisation)
        return any_domain{};
    permitted_domains rule;
    for (auto const& [domain, region] : regions)
        if (permits(route.regions, region) && permits(of_organisation, region))
            rule.domains.insert(domain);
    return rule;
}

placement_rule intersection(placement_rule const& a, placement_rule const& b)
{
    auto const* some_of_a = std::get_if<permitted_domains>(&a);
    if (!some_of_a)
        return b;
    permitted_domains both;
    std::ranges::copy_if(
        some_of_a->domains, std::inserter(both.domains, both.domains.end()),
        [&](state::failure_domain_id const& domain) { return state::permits(b, domain); });
    return both;
}

placement_rule placement_in(
    state::route_set const& routes, placed_request const& request, domain_regions const& regions)
{
    static state::route const unrestricted;
    placement_rule rule = any_domain{};
    auto const named = routes.routes_named(request.route);
    for (auto const* route :
         {named.size() == 1 ? named.front() : nullptr, routes.find(request.host, request.path)})
        if (route)
            rule = intersection(rule, placement_of(*route, nullptr, regions));
    auto const* const of_name =
        request.organisation.empty() ? nullptr : routes.organisation(request.organisation);
    for (auto const* organisation : {of_name, routes.organisation_of_key(request.key)})
        rule = intersection(rule, placement_of(unrestricted, organisation, regions));
    return rule;
}

} // namespace auburnweir::coordination
