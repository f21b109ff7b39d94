#include "coordination/domain_spillover.hpp"

#include "coordination/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace auburnweir::coordination
{

namespace
{

using slots_by_domain = std::map<state::failure_domain_id, double>;

/// Load of a domain's servers, relative to the mean of all, up to which requests stay there.
constexpr double max_relative_load = 1.1;

/// Halvings of the interval in which the solution is searched; its error is below 0.001.
constexpr int bisection_steps = 11;

double kept_share(double own_slots, double mean_slots, double kept_load)
{
    return std::min(1.0, kept_load * own_slots / mean_slots);
}

/// Relative load from its own callers that each domain's servers take, such that they stay below
/// `max_relative_load` together with the requests that the domains do not keep, which are spread
/// over all servers.
double solve_kept_load(std::span<double const> slots, double mean_slots)
{
    double low = 0;
    double high = max_relative_load;
    for (int step = 0; step < bisection_steps; ++step)
    {
        auto const kept_load = (low + high) / 2;
        double spread = 0;
        for (auto const own : slots)
            spread += 1 - kept_share(own, mean_slots, kept_load);
        spread /= static_cast<double>(slots.size());
        (kept_load + spread > max_relative_load ? high : low) = kept_load;
    }
    return high;
}

} // namespace

double own_domain_share(
    std::vector<state::server_view> const& servers, state::failure_domain_id const& domain)
{
    slots_by_domain slots{{domain, 0}};
    for (auto const& s : servers)
    {
        auto const count = static_cast<double>(s.listed.slots);
        slots[s.listed.failure_domain] += count;
    }
    std::vector<double> capacities;
    for (auto const& [id, count] : slots)
        capacities.push_back(count);
    return own_domain_share(capacities, slots.at(domain));
}

double own_domain_share(std::span<double const> capacities, double own)
{
    auto const total = std::accumulate(capacities.begin(), capacities.end(), 0.0);
    if (total == 0)
        return 0;
    auto const mean = total / static_cast<double>(capacities.size());
    return kept_share(own, mean, solve_kept_load(capacities, mean));
}

bool stays_in_domain(
    std::string_view affinity, state::failure_domain_id const& domain, double share)
{
    if (share >= 1)
        return true;
    constexpr int weight_bits = 64;
    auto const weight = static_cast<double>(rendezvous_weight(affinity, domain.str()));
    return std::ldexp(weight, -weight_bits) < share;
}

} // namespace auburnweir::coordination
