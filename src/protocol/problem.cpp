#include "protocol/problem.hpp"

#include "protocol/json.hpp"

#include <algorithm>

namespace auburnweir::protocol
{

std::string_view name_of(state::run_outcome outcome)
{
    switch (outcome)
    {
    case state::run_outcome::not_run:
        return "not_run";
    case state::run_outcome::ran:
        return "ran";
    case state::run_outcome::outcome_unknown:
        break;
    }
    return "outcome_unknown";
}

int http_status(state::refusal_reason reason)
{
    using r = state::refusal_reason;
    switch (reason)
    {
    case r::malformed_request:
        return 400;
    case r::unauthorised:
        return 401;
    case r::relay_unauthorised:
        return 403;
    case r::unknown_service:
    case r::unknown_operation:
    case r::unknown_request:
    case r::unknown_route:
    case r::caller_left:
        return 404;
    case r::sender_too_slow:
        return 408;
    case r::key_in_flight:
    case r::request_id_in_use:
    case r::resume_point_unknown:
        return 409;
    case r::body_too_large:
        return 413;
    case r::key_reused:
        return 422;
    case r::queue_full:
    case r::quota_exceeded:
        return 429;
    case r::header_too_large:
        return 431;
    case r::backend_failed:
    case r::outcome_unknown:
    case r::response_memory_exhausted:
        return 502;
    case r::deadline_exceeded:
        return 504;
    case r::deadline_unreachable:
    case r::no_backend:
    case r::store_unavailable:
    case r::stopping:
    case r::configuration_unknown:
    case r::configuration_stale:
    case r::backend_full:
    case r::request_memory_exhausted:
    case r::segment_quarantined:
    case r::segment_on_trial:
    case r::request_quarantined:
    case r::backends_closed:
    case r::connections_exhausted:
    case r::no_permitted_backend:
    case r::relay_unavailable:
    case r::count_:
        break;
    }
    return 503;
}

std::string encode(problem const& p)
{
    nlohmann::json body{
        {"type", "urn:auburnweir:problem:" + std::string{name_of(p.reason)}},
        {"title", std::string{name_of(p.reason)}},
        {"status", http_status(p.reason)},
        {"reason", std::string{name_of(p.reason)}},
        {"run", std::string{name_of(p.outcome)}}};
    if (!p.detail.empty())
        body["detail"] = p.detail;
    if (!p.request.empty())
        body["request_id"] = p.request.str();
    if (p.retry_after)
        body["retry_after"] = std::stoll(retry_after_seconds(*p.retry_after));
    return dump(body);
}

std::string retry_after_seconds(state::duration d)
{
    auto const seconds = std::chrono::ceil<std::chrono::seconds>(d).count();
    return std::to_string(std::max<std::int64_t>(seconds, 1));
}

} // namespace auburnweir::protocol
