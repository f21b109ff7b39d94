#ifndef AUBURNWEIR_PROTOCOL_PROBLEM_HPP
#define AUBURNWEIR_PROTOCOL_PROBLEM_HPP

#include "state/reasons.hpp"
#include "state/request.hpp"

#include <optional>
#include <string>

namespace auburnweir::protocol
{

/// Error response to a caller: RFC 9457 problem details with a reason code.
struct problem
{
    state::refusal_reason reason;
    state::run_outcome outcome = state::run_outcome::not_run;
    std::string detail;
    state::request_id request;
    std::optional<state::duration> retry_after;
};

constexpr std::string_view problem_content_type = "application/problem+json";

std::string_view name_of(state::run_outcome outcome);

/// HTTP status of a refusal.
int http_status(state::refusal_reason reason);

/// The JSON body.
std::string encode(problem const& p);

/// Value of the Retry-After header: whole seconds, at least 1.
std::string retry_after_seconds(state::duration d);

} // namespace auburnweir::protocol

#endif
