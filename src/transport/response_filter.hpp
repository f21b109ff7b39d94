#ifndef AUBURNWEIR_TRANSPORT_RESPONSE_FILTER_HPP
#define AUBURNWEIR_TRANSPORT_RESPONSE_FILTER_HPP

#include "coordination/response_attribution.hpp"
#include "transport/gateway_context.hpp"
#include "transport/request_log.hpp"

namespace auburnweir::transport
{

/// Tells an attempt's own response from others that arrive on its connection. Counts and logs
/// those that are dropped.
class response_filter
{
public:
    /// @param rule   of the request's route
    /// @param trace  gets what the response names; outlives the filter
    response_filter(
        gateway_context& context, state::forwarded_request const& request,
        state::backend_id const& server, state::retry_rule rule, attempt_trace& trace)
        : context_(context)
        , request_(request)
        , server_(server)
        , rule_(rule)
        , trace_(trace)
    {
    }

    response_owner owner_of(int status, http_fields const& headers);

private:
    response_owner drop();
    response_owner owner_of_ambiguous();

    gateway_context& context_;
    state::forwarded_request const& request_;
    state::backend_id const& server_;
    state::retry_rule rule_;
    attempt_trace& trace_;
};

} // namespace auburnweir::transport

#endif
