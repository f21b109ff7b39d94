#include "transport/response_filter.hpp"

#include "state/overloaded.hpp"
#include "transport/clock.hpp"

namespace auburnweir::transport
{

namespace
{

using coordination::response_name;

response_name name_in(backend_headers const& response, state::request_id const& expected)
{
    if (response.request.empty())
        return response_name::none;
    return response.request == expected.str() ? response_name::this_request
                                              : response_name::other_request;
}

} // namespace

response_owner response_filter::owner_of(int status, http_fields const& headers)
{
    auto const response = context_.ports.dialect.decode_response(status, headers);
    trace_.status = status;
    trace_.named = name_in(response, request_.id);
    coordination::response_evidence evidence;
    evidence.name = *trace_.named;
    evidence.states_not_run = response.not_run;
    evidence.requests_on_connection = trace_.connection.requests;
    if (evidence.name == response_name::none && evidence.states_not_run)
        context_.tables.servers.record_unnamed_refusal(server_, now());
    return std::visit(
        state::overloaded{
            [](coordination::own_response const& own) {
                return own.may_reuse_connection ? response_owner::this_call
                                                : response_owner::unnamed;
            },
            [this](coordination::foreign_response const&) { return drop(); },
            [this](coordination::ambiguous_response const&) { return owner_of_ambiguous(); }},
        coordination::attribute_response(evidence));
}

response_owner response_filter::owner_of_ambiguous()
{
    // Sending a request again that may run again is faster than waiting for a named response.
    if (rule_ != state::retry_rule::at_most_once)
        return response_owner::unknown;
    return drop();
}

response_owner response_filter::drop()
{
    bool const is_named = trace_.named == response_name::other_request;
    context_.tables.counters.increment(
        is_named ? state::event_counter::late_answers_dropped
                 : state::event_counter::unnamed_answers_dropped);
    log_dropped_response(request_, server_, trace_);
    trace_.status = 0;
    trace_.named.reset();
    return response_owner::earlier_call;
}

} // namespace auburnweir::transport
