#include "coordination/response_attribution.hpp"

namespace auburnweir::coordination
{

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
    bool const is_only_request = evidence.requests_on_connection == 1;
    if (evidence.name == response_name::none && evidence.states_not_run && is_only_request)
        return own_response{false};
    return foreign_response{};
}

} // namespace auburnweir::coordination
