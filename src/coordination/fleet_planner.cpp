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

/// Delay before an order that was not accepted is placed again.
constexpr state::duration order_retry_delay = std::chrono::milliseconds{1500};

/// Time beyond an engine's start time after which missing engines are ordered again.
constexpr state::duration engine_start_margin = std::chrono::seconds{3};

std::int64_t count_of(fleet_counts const& counts, fleet_group const& group)
{
    auto const it = counts.find(group);
    return it == counts.end() ? 0 : it->second;
}

/// Failure domains in ascending order of price.
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
        if (!s.listed.draining && !s.missing_until)
            ++counts[{s.listed.service, s.listed.failure_domain, s.listed.reclaimable}];
    return counts;
}

fleet_counts plan_fleet(
    state::routed_service const& service, fleet_counts const& initial_fleet,
    fleet_counts const& ready, std::set<failure_domain_id> const& evacuated,
    fleet_settings const& settings)
{
    auto const& bounds = *service.fleet;
    fleet_counts plan;
    std::int64_t initial_total = 0;
    std::int64_t remaining_total = 0;  // ready engines that the plan keeps
    std::int64_t max_domain_ready = 0; // ready reclaimable engines of one domain
    std::size_t domain_count = 0;
    std::size_t short_domain_count = 0; // with fewer reclaimable engines than planned
    // On-demand groups that replace missing engines: those of short domains, whose reclaimable
    // engines are below the plan. An evacuated domain can't replace its own; the others do.
    std::vector<fleet_group> replacing_groups;
    for (auto const& domain : domains_by_price(service))
    {
        fleet_group const reclaimable{service.id, domain, true};
        fleet_group const on_demand{service.id, domain, false};
        auto const initial = count_of(initial_fleet, on_demand);
        if (initial == 0)
            continue;
        initial_total += initial;
        ++domain_count;
        if (evacuated.contains(domain))
        {
            ++short_domain_count;
            continue;
        }
        auto const scaled =
            std::llround(settings.reclaimable_factor * static_cast<double>(initial));
        plan[reclaimable] = std::clamp<std::int64_t>(
            scaled, 1, std::max<std::int64_t>(1, bounds.max_engines - settings.min_on_demand));
        plan[on_demand] = settings.min_on_demand;
        auto const reclaimable_ready = std::min(count_of(ready, reclaimable), plan[reclaimable]);
        remaining_total += reclaimable_ready + plan[on_demand];
        max_domain_ready = std::max(max_domain_ready, reclaimable_ready);
        bool const is_short = reclaimable_ready < plan[reclaimable];
        short_domain_count += is_short ? 1 : 0;
        if (is_short || !evacuated.empty())
            replacing_groups.push_back(on_demand);
    }
    // Reclaims come in series: while up to half of the domains are short, a reclaim in another may
    // follow before an engine ordered at that point has started.
    bool const series_may_go_on = short_domain_count > 0 && 2 * short_domain_count <= domain_count;
    if (series_may_go_on)
        remaining_total -= max_domain_ready;
    auto const needed = static_cast<std::int64_t>(
        std::ceil(settings.needed_share * static_cast<double>(initial_total)));
    auto missing = std::max<std::int64_t>(0, needed - remaining_total);
    // Engines that already run are kept first: they need no time to start.
    for (auto const& group : replacing_groups)
    {
        auto const kept =
            std::min(missing, std::max<std::int64_t>(0, count_of(ready, group) - plan[group]));
        plan[group] += kept;
        missing -= kept;
    }
    while (missing > 0)
    {
        auto const missing_before = missing;
        for (auto const& group : replacing_groups)
        {
            fleet_group const reclaimable{group.service, group.failure_domain, true};
            bool const is_below_max =
                plan[group] + count_of(ready, reclaimable) < bounds.max_engines;
            if (missing == 0 || !is_below_max)
                continue;
            ++plan[group];
            --missing;
        }
        if (missing == missing_before)
            break;
    }
    return plan;
}

bool order_is_due(
    std::optional<placed_order> const& last, std::int64_t count, std::int64_t running,
    state::duration startup_time, state::time_point now)
{
    if (!last || last->count != count)
        return true;
    if (!last->accepted)
        return now - last->at >= order_retry_delay;
    return running < count && now - last->at >= startup_time + engine_start_margin;
}

} // namespace auburnweir::coordination
