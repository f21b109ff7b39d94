#include "coordination/cold_shares.hpp"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace auburnweir::coordination
{

namespace
{

/// Part of the tolerated rate that is planned. Two groups of instances with different ranks then
/// send at most 1.5 times that rate, the default overrun.
constexpr double planned_part = 0.75;

/// Groups of instances with different ranks that the bound allows for: those that the holder
/// reaches, and those that are cut off from it.
constexpr double groups = 2;

/// Instances by known ones that may send, those that are cut off and not known any more included.
constexpr double possible_instances = 1.5;

/// Two requests that are sent a second apart may arrive some milliseconds closer to each other.
constexpr double delivery_allowance = 1.05;

/// Time in which a report's response arrives and is applied, also between regions.
constexpr state::duration delivery_margin = std::chrono::milliseconds{200};

double planned_rate(state::cold_service const& service, cold_bounds const& bounds)
{
    return std::min(planned_part, bounds.overrun / groups) * service.per_second;
}

} // namespace

std::uint64_t cold_owner_count(
    state::cold_service const& service, cold_bounds const& bounds, std::uint64_t instances)
{
    auto const owners = static_cast<std::uint64_t>(std::floor(planned_rate(service, bounds)));
    return std::clamp<std::uint64_t>(owners, 1, std::max<std::uint64_t>(instances, 1));
}

bool owns_cold_server(
    state::backend_id const& server, state::instance_rank rank, std::uint64_t owners)
{
    if (rank.rank >= rank.count)
        return false;
    auto const first = XXH3_64bits(server.str().data(), server.str().size()) % rank.count;
    return (rank.rank + rank.count - first) % rank.count < owners;
}

std::optional<state::duration> cold_send_interval(
    state::backend_id const& server, state::instance_rank rank, state::cold_service const& service,
    cold_bounds const& bounds)
{
    auto const owners = cold_owner_count(service, bounds, rank.count);
    if (service.per_second <= 0 || !owns_cold_server(server, rank, owners))
        return std::nullopt;
    auto const count = static_cast<double>(owners);
    // An owner with 1.06 requests a second sends two of them in one second at times. All owners of
    // two groups may do that in the same second, which the bound must allow.
    auto const allowed = bounds.overrun * service.per_second + bounds.slack;
    auto const senders =
        std::min(groups * count, std::ceil(possible_instances * static_cast<double>(rank.count)));
    auto const in_one_second = std::max(1.0, std::floor(allowed / senders));
    std::chrono::duration<double> const interval{
        std::max(count / planned_rate(service, bounds), delivery_allowance / in_one_second)};
    return std::chrono::duration_cast<state::duration>(interval);
}

state::cold_policy cold_policy_for(
    std::vector<state::routed_service> const& services, cold_bounds const& bounds,
    state::duration report_period)
{
    state::cold_policy policy;
    for (auto const& service : services)
        if (service.cold_per_second > 0)
            policy.services[service.id] = {service.cold_time, service.cold_per_second};
    policy.interval_of = [bounds](
                             state::backend_id const& server, state::instance_rank rank,
                             state::cold_service const& service)
    { return cold_send_interval(server, rank, service, bounds); };
    policy.settle_time = std::chrono::seconds{1} + report_period + delivery_margin;
    return policy;
}

} // namespace auburnweir::coordination
