#ifndef AUBURNWEIR_COORDINATION_RESPONSE_ATTRIBUTION_HPP
#define AUBURNWEIR_COORDINATION_RESPONSE_ATTRIBUTION_HPP

#include "state/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

namespace auburnweir::coordination
{

/// Which request a response names.
enum class response_name : std::uint8_t
{
    this_request,
    other_request,
    none
};

std::string_view name_of(response_name name);

/// What is known of a response when its header has arrived.
struct response_evidence
{
    response_name name = response_name::none;
    bool states_not_run = false;    ///< states that the request was not run and will not be
    int requests_on_connection = 1; ///< so far, that of the waiting attempt included
};

/// The response is that of the attempt which waits on the connection.
struct own_response
{
    bool may_reuse_connection = true;
};

/// The response is that of another request.
struct foreign_response
{
};

/// The response may be that of the attempt or of another one.
struct ambiguous_response
{
};

using response_attribution = std::variant<own_response, foreign_response, ambiguous_response>;

/// Decides whether a response belongs to the attempt that waits on its connection.
///
/// A position on a connection proves nothing once the connection has carried another request: the
/// response may be a late copy of an earlier one. There a response has to name its request.
response_attribution attribute_response(response_evidence const& evidence);

/// Whether requests to a server get a connection each, as its refusals name none.
/// @param unnamed_refusal_at  when the server last sent a refusal without a name; null: never
bool needs_own_connection(
    std::optional<state::time_point> unnamed_refusal_at, state::time_point now);

} // namespace auburnweir::coordination

#endif
