#include "coordination/response_attribution.hpp"

namespace auburnweir::coordination
{

namespace
{

/// A server that has not sent a refusal without a name for so long is taken to name its refusals.
constexpr state::duration unnamed_refusal_memory = std::chrono::seconds{30};

} // namespace

std::string_view name_of(response_name name)
{
    switch (name)
    {
    case response_name::this_request:
        return "this";
    case response_name::other_request:
        return "other";
    case response_name::none:
        break;
    }
    return "none";
}

response_attribution attribute_response(response_evidence const& evidence)
{
    if (evidence.name == response_name::this_request)
        return own_response{};
    bool const is_unnamed_refusal = evidence.name == response_name::none && evidence.states_not_run;
    if (!is_unnamed_refusal)
        return foreign_response{};
    if (evidence.requests_on_connection > 1)
        return ambiguous_response{};
    return own_response{false};
}

bool needs_own_connection(
    std::optional<state::time_point> unnamed_refusal_at, state::time_point now)
{
    return unnamed_refusal_at && now - *unnamed_refusal_at < unnamed_refusal_memory;
}

} // namespace auburnweir::coordination
