#include "coordination/ejection_policy.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

/// Limit of the exponent by which `base_duration` grows.
constexpr int max_doublings = 4;

bool is_ejected(state::server_view const& v, state::time_point now)
{
    return v.ejected_until && *v.ejected_until > now;
}

/// Median failure share of the service's other servers: its usual rate of failures.
double median_failure_share(
    std::vector<state::server_view> const& servers_of_service, state::backend_id const& excluded)
{
    std::vector<double> shares;
    for (auto const& v : servers_of_service)
        if (v.listed.id != excluded)
            shares.push_back(v.failure_share);
    if (shares.empty())
        return 1;
    auto const middle = shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 2);
    std::nth_element(shares.begin(), middle, shares.end());
    return *middle;
}

} // namespace

std::optional<state::time_point> decide_ejection(
    state::server_view const& server, std::vector<state::server_view> const& servers_of_service,
    state::time_point now, ejection_settings const& settings)
{
    auto const median = median_failure_share(servers_of_service, server.listed.id);
    bool const failing = server.failures_in_row >= settings.consecutive_failures_to_eject ||
                         server.failure_share > median + settings.min_excess_failure_share;
    if (!failing || is_ejected(server, now))
        return std::nullopt;
    auto const ejected = std::count_if(
        servers_of_service.begin(), servers_of_service.end(),
        [&](auto const& v) { return is_ejected(v, now); });
    auto const share =
        static_cast<double>(ejected + 1) / static_cast<double>(servers_of_service.size());
    if (share > settings.max_ejected_share)
        return std::nullopt;
    auto const doublings = std::min(server.ejections, max_doublings);
    return now + std::min(settings.max_duration, settings.base_duration * (1 << doublings));
}

} // namespace auburnweir::coordination
