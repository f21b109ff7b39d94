#include "coordination/ejection_policy.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

bool is_ejected(state::server_view const& v, state::time_point now)
{
    return v.ejected_until && *v.ejected_until > now;
}

/// The middle of the others' failure shares: what the service's requests fail by nature.
double usual_failure_share(
    std::vector<state::server_view> const& others, state::backend_id const& but)
{
    std::vector<double> shares;
    for (auto const& v : others)
        if (v.listed.id != but)
            shares.push_back(v.failure_share);
    if (shares.empty())
        return 1;
    auto const middle = shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 2);
    std::nth_element(shares.begin(), middle, shares.end());
    return *middle;
}

} // namespace

std::optional<state::time_point> ejection_end(
    state::server_view const& server, std::vector<state::server_view> const& others,
    state::time_point now, ejection_settings const& settings)
{
    auto const usual = usual_failure_share(others, server.listed.id);
    bool const failing = server.failures_in_row >= settings.failures_in_row ||
                         server.failure_share > usual + settings.failure_share;
    if (!failing || is_ejected(server, now))
        return std::nullopt;
    auto const ejected = std::count_if(
        others.begin(), others.end(), [&](auto const& v) { return is_ejected(v, now); });
    auto const share = static_cast<double>(ejected + 1) / static_cast<double>(others.size());
    if (share > settings.most_ejected)
        return std::nullopt;
    auto const doublings = std::min(server.ejections, 4);
    return now + std::min(settings.longest, settings.base * (1 << doublings));
}

} // namespace auburnweir::coordination
