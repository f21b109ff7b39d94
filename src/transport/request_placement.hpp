#ifndef AUBURNWEIR_TRANSPORT_REQUEST_PLACEMENT_HPP
#define AUBURNWEIR_TRANSPORT_REQUEST_PLACEMENT_HPP

#include "coordination/placement_policy.hpp"
#include "transport/gateway_context.hpp"

namespace auburnweir::transport
{

/// Failure domains to which one request may be sent. Newer configurations only ever take domains
/// away: the request keeps the restrictions of the version that admitted it.
class request_placement
{
public:
    /// @param admitted_by  the configuration that admitted the request
    /// @param rule         by that configuration
    request_placement(
        gateway_context const& context, coordination::placed_request request,
        state::route_set_ptr admitted_by, state::placement_rule rule)
        : context_(context)
        , request_(std::move(request))
        , applied_(std::move(admitted_by))
        , rule_(std::move(rule))
    {
    }

    /// The rule after the configuration that is in force now.
    state::placement_rule const& current();

private:
    gateway_context const& context_;
    coordination::placed_request request_;
    state::route_set_ptr applied_; ///< last configuration that the rule includes
    state::placement_rule rule_;
};

} // namespace auburnweir::transport

#endif
