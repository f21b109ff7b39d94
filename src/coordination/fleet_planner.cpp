#include "coordination/fleet_planner.hpp"

#include <algorithm>
#include <cmath>

namespace auburnweir::coordination
{

namespace
{

using state::failure_domain_id;
using state::fleet_counts;
using state::fleet_group;

std::int64_t count_of(fleet_counts const& counts, fleet_group const& group)
{
    auto const it = counts.find(group);
    return it == counts.end() ? 0 : it->second;
}

/// Failure domains from the cheapest on.
std::vector<failure_domain_id> domains_by_price(state::routed_service const& service)
{
    std::vector<std::pair<double, failure_domain_id>> priced;
    for (auto const& [domain, price] : service.fleet->domain_prices)
        priced.emplace_back(price, domain);
    std::sort(priced.begin(), priced.end());
    std::vector<failure_domain_id> result;
    result.reserve(priced.size());
    for (auto& [price, domain] : priced)
        result.push_back(std::move(domain));
    return result;
}

} // namespace

fleet_counts ready_engines(std::vector<state::server_view> const& servers)
{
    fleet_counts counts;
    for (auto const& s : servers)
        if (!s.listed.draining && !s.missing_since)
            ++counts[{s.listed.service, s.listed.failure_domain, s.listed.reclaimable}];
    return counts;
}

fleet_counts plan_fleet(
    state::routed_service const& service, fleet_counts const& initial_fleet,
    fleet_counts const& ready, fleet_settings const& settings)
{
    auto const& bounds = *service.fleet;
    fleet_counts plan;
    std::int64_t base_total = 0;
    std::int64_t lasting_total = 0; // what stays when the plan is carried out
    std::int64_t largest_ready = 0; // reclaimable engines of one domain
    std::vector<fleet_group> short_of;
    for (auto const& domain : domains_by_price(service))
    {
        fleet_group const spot{service.id, domain, true};
        fleet_group const fixed{service.id, domain, false};
        auto const begun_with = count_of(initial_fleet, fixed);
        if (begun_with == 0)
            continue;
        base_total += begun_with;
        auto const scaled =
            std::llround(settings.reclaimable_factor * static_cast<double>(begun_with));
        plan[spot] = std::clamp<std::int64_t>(
            scaled, 1, std::max<std::int64_t>(1, bounds.most - settings.on_demand_kept));
        plan[fixed] = settings.on_demand_kept;
        auto const spot_ready = std::min(count_of(ready, spot), plan[spot]);
        lasting_total += spot_ready + plan[fixed];
        largest_ready = std::max(largest_ready, spot_ready);
        if (spot_ready < plan[spot])
            short_of.push_back(fixed);
    }
    // Reclaims come in series: while one domain is short, the next may follow before an engine that
    // is ordered then has started.
    if (short_of.size() == 1)
        lasting_total -= largest_ready;
    auto const needed = static_cast<std::int64_t>(
        std::ceil(settings.needed_share * static_cast<double>(base_total)));
    auto missing = std::max<std::int64_t>(0, needed - lasting_total);
    // Engines that run already come first: they need no start.
    for (auto const& group : short_of)
    {
        auto const kept =
            std::min(missing, std::max<std::int64_t>(0, count_of(ready, group) - plan[group]));
        plan[group] += kept;
        missing -= kept;
    }
    while (missing > 0)
    {
        auto const before = missing;
        for (auto const& group : short_of)
        {
            fleet_group const spot{group.service, group.failure_domain, true};
            bool const room = plan[group] + count_of(ready, spot) < bounds.most;
            if (missing == 0 || !room)
                continue;
            ++plan[group];
            --missing;
        }
        if (missing == before)
            break;
    }
    return plan;
}

} // namespace auburnweir::coordination
