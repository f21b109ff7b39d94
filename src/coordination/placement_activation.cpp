#include "coordination/placement_activation.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

/// Ratio of latency objectives from which the more urgent requests need servers of their own.
constexpr int competing_ratio = 3;

bool leads_to(state::route const& route, state::service_id const& service)
{
    return std::ranges::any_of(
        route.targets, [&](auto const& target) { return target.service == service; });
}

} // namespace

placement_setting placement_setting_named(std::string_view name)
{
    if (name == "uneven")
        return placement_setting::uneven;
    return name == "even" ? placement_setting::even : placement_setting::automatic;
}

bool objectives_compete(state::route_set const& routes, state::service_id const& service)
{
    auto lowest = state::duration::max();
    auto highest = state::duration::zero();
    for (auto const* route : routes.routes())
    {
        bool const counts = route->streaming &&
                            route->latency_objective > state::duration::zero() &&
                            leads_to(*route, service);
        if (!counts)
            continue;
        lowest = std::min(lowest, route->latency_objective);
        highest = std::max(highest, route->latency_objective);
    }
    return highest > state::duration::zero() && lowest <= highest / competing_ratio;
}

bool has_uneven_placement(
    state::route_set const& routes, state::service_id const& service, placement_setting setting,
    bool reports_work_factor)
{
    switch (setting)
    {
    case placement_setting::uneven:
        return true;
    case placement_setting::even:
        return false;
    case placement_setting::automatic:
        break;
    }
    return reports_work_factor || objectives_compete(routes, service);
}

placement_table::placement_table(placement_setting setting)
    : setting_(setting)
{
}

void placement_table::record_work_factor(state::service_id const& service)
{
    state::ranked_lock lock(mutex_);
    if (!reporting_work_.insert(service).second)
        return;
    routes_.reset();
    entries_.clear();
}

service_placement placement_table::of(
    state::route_set_ptr const& routes, state::service_id const& service)
{
    state::ranked_lock lock(mutex_);
    update(routes);
    auto const found = entries_.find(service);
    return found == entries_.end() ? service_placement{} : found->second.placement;
}

std::set<state::service_id> placement_table::uneven_services(state::route_set_ptr const& routes)
{
    state::ranked_lock lock(mutex_);
    update(routes);
    std::set<state::service_id> result;
    for (auto const& [id, e] : entries_)
        if (e.placement.uneven && e.has_prompts)
            result.insert(id);
    return result;
}

void placement_table::update(state::route_set_ptr const& routes)
{
    if (routes_ == routes)
        return;
    routes_ = routes;
    entries_.clear();
    if (!routes)
        return;
    for (auto const* route : routes->routes())
        for (auto const& target : route->targets)
        {
            auto const [it, is_new] = entries_.try_emplace(target.service);
            auto& e = it->second;
            e.has_prompts = e.has_prompts || route->carries_prompt;
            if (!is_new)
                continue;
            e.placement.uneven = has_uneven_placement(
                *routes, target.service, setting_, reporting_work_.contains(target.service));
            e.placement.separate_lanes =
                e.placement.uneven && objectives_compete(*routes, target.service);
        }
}

} // namespace auburnweir::coordination
