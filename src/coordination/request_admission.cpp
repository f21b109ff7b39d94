#include "coordination/request_admission.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

using state::refusal_reason;

/// When a caller may come back while the configuration is not known to be fresh.
constexpr state::duration retry_when_stale = std::chrono::milliseconds{700};

/// Part of a freshness bound that is kept in hand for the way from the check to the server.
constexpr state::duration freshness_margin = std::chrono::milliseconds{400};

double quota_cost(state::organisation_quota const& quota, state::forwarded_request const& head)
{
    if (!quota.in_tokens)
        return 1;
    auto const tokens = head.counted ? head.prompt + head.most_output : quota.tokens_if_unknown;
    return static_cast<double>(tokens.count());
}

/// Why a request with this key may not be sent on this route; null when it may.
std::optional<request_refused> key_refusal(
    arrived_request const& request, state::route const& route,
    state::organisation_quota const* organisation, freshness_bounds const& bounds)
{
    if (!request.routes.keys_required() || (route.anonymous && !organisation))
        return std::nullopt;
    auto const bound = organisation ? bounds.revocation : bounds.configuration;
    if (request.routes_age > bound - freshness_margin)
        return request_refused{refusal_reason::configuration_stale, retry_when_stale, &route};
    if (!organisation)
        return request_refused{refusal_reason::unauthorised, {}, &route};
    return std::nullopt;
}

} // namespace

request_admission admit_request(
    arrived_request const& request, freshness_bounds const& bounds, shared_quota& quotas)
{
    auto const path = request.target.substr(0, request.target.find('?'));
    auto const* route = request.routes.find(request.host, path);
    if (!route)
    {
        if (request.routes_age > bounds.configuration - freshness_margin)
            return request_refused{refusal_reason::configuration_stale, retry_when_stale};
        return request_refused{refusal_reason::unknown_route};
    }
    auto const* organisation = request.routes.organisation_of_key(request.head.key);
    if (auto const refusal = key_refusal(request, *route, organisation, bounds))
        return *refusal;
    request_admitted admitted;
    admitted.route = route;
    admitted.service = route->target_of(request.head.id.str());
    admitted.organisation = organisation;
    admitted.deadline = request.at + route->timeout;
    if (request.head.patience)
        admitted.deadline = std::min(admitted.deadline, request.at + *request.head.patience);
    if (!organisation)
        return admitted;
    admitted.quota_cost = quota_cost(*organisation, request.head);
    auto const decision = quotas.acquire(*organisation, admitted.quota_cost, request.at);
    if (auto const* exceeded = std::get_if<quota_exceeded>(&decision))
        return request_refused{refusal_reason::quota_exceeded, exceeded->retry_after, route};
    return admitted;
}

} // namespace auburnweir::coordination
