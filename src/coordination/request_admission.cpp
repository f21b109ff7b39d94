#include "coordination/request_admission.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

using state::refusal_reason;

/// Retry-After of a refusal due to a stale configuration.
constexpr state::duration retry_after_when_stale = std::chrono::milliseconds{700};

/// Time reserved within a freshness bound for the dispatch from this check to the backend server.
constexpr state::duration dispatch_margin = std::chrono::milliseconds{400};

double quota_cost(state::organisation_quota const& quota, state::forwarded_request const& header)
{
    if (!quota.in_tokens)
        return 1;
    auto const tokens =
        header.has_token_counts ? header.prompt + header.max_output : quota.tokens_if_unknown;
    return static_cast<double>(tokens.count());
}

/// The refusal when the request's key does not permit this route; null when it does.
std::optional<request_refused> key_refusal(
    arrived_request const& request, state::route const& route,
    state::organisation_quota const* organisation, freshness_bounds const& bounds)
{
    if (!request.routes.keys_required() || (route.anonymous && !organisation))
        return std::nullopt;
    auto const bound = organisation ? bounds.revocation : bounds.configuration;
    if (request.confirmation_age > bound - dispatch_margin)
        return request_refused{refusal_reason::configuration_stale, retry_after_when_stale, &route};
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
        if (request.confirmation_age > bounds.configuration - dispatch_margin)
            return request_refused{refusal_reason::configuration_stale, retry_after_when_stale};
        return request_refused{refusal_reason::unknown_route};
    }
    auto const* organisation = request.routes.organisation_of_key(request.header.key);
    if (auto const refusal = key_refusal(request, *route, organisation, bounds))
        return *refusal;
    request_admitted admitted;
    admitted.route = route;
    admitted.service = route->target_of(request.header.id.str());
    admitted.organisation = organisation;
    admitted.deadline = request.arrived_at + route->timeout;
    if (request.header.timeout)
        admitted.deadline =
            std::min(admitted.deadline, request.arrived_at + *request.header.timeout);
    if (!organisation)
        return admitted;
    admitted.quota_cost = quota_cost(*organisation, request.header);
    auto const decision = quotas.acquire(*organisation, admitted.quota_cost, request.arrived_at);
    if (auto const* exceeded = std::get_if<quota_exceeded>(&decision))
        return request_refused{refusal_reason::quota_exceeded, exceeded->retry_after, route};
    return admitted;
}

} // namespace auburnweir::coordination
