#ifndef AUBURNWEIR_COORDINATION_RESPONSE_ATTRIBUTION_HPP
#define AUBURNWEIR_COORDINATION_RESPONSE_ATTRIBUTION_HPP

#include <cstdint>
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

/// The response is not, or can't be told from one that is not. It is dropped.
struct foreign_response
{
};

using response_attribution = std::variant<own_response, foreign_response>;

/// Decides whether a response belongs to the attempt that waits on its connection.
///
/// A position on a connection proves nothing once the connection has carried another request: the
/// response may be a late copy of an earlier one. There a response has to name its request.
response_attribution attribute_response(response_evidence const& evidence);

} // namespace auburnweir::coordination

#endif
