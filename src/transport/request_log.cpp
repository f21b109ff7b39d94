#include "transport/request_log.hpp"

#include "transport/clock.hpp"
#include "transport/log.hpp"

#include <algorithm>

namespace auburnweir::transport
{

namespace
{

/// Number of prompt segments that a log line names.
constexpr std::size_t max_logged_segments = 4;

std::string milliseconds_text(state::duration d)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

/// Ids of the segments that other requests may share, the deepest first.
std::string shared_segments_text(state::forwarded_request const& request)
{
    std::string text;
    auto const& segments = request.segments;
    std::size_t const shared = segments.empty() ? 0 : segments.size() - 1;
    for (std::size_t i = 0; i < std::min(shared, max_logged_segments); ++i)
        text += (i == 0 ? "" : ",") + segments[shared - 1 - i].id;
    return text;
}

std::string route_of(logged_request const& request)
{
    return request.route ? request.route->id.str() : "";
}

/// The version that added the route; empty for routes of the first version.
std::string route_added_in(logged_request const& request)
{
    return request.route_added_in ? std::to_string(request.route_added_in->count()) : "";
}

/// What the response names; empty without a response.
std::string named_text(attempt_trace const& trace)
{
    return trace.named ? std::string{name_of(*trace.named)} : "";
}

/// What marked the end of the response's body; empty without a response.
std::string framing_text(attempt_trace const& trace)
{
    return trace.framing ? std::string{name_of(*trace.framing)} : "";
}

std::string after_text(logged_request const& request)
{
    return milliseconds_text(now() - request.arrived_at);
}

} // namespace

void log_finished(
    logged_request const& request, logged_configuration const& configuration,
    logged_response const& response)
{
    log(log_event::request_finished,
        {{"request", request.request.id.str()},
         {"route", route_of(request)},
         {"route_added", route_added_in(request)},
         {"service", request.service.str()},
         {"backend", response.backend.str()},
         {"relay", response.relay.str()},
         {"status", std::to_string(response.trace.status)},
         {"framing", framing_text(response.trace)},
         {"events", std::to_string(response.trace.events)},
         {"last_event", response.last_event},
         {"sends", std::to_string(request.sends)},
         {"ms", after_text(request)},
         {"configuration", std::to_string(configuration.routes->version().count())},
         {"configuration_age_ms", milliseconds_text(configuration.age)}});
}

void log_refused(
    logged_request const& request, logged_configuration const& configuration,
    protocol::problem const& refusal, int status, std::string const& segment)
{
    auto const& routes = configuration.routes;
    log(log_event::request_refused,
        {{"request", request.request.id.str()},
         {"route", route_of(request)},
         {"route_added", route_added_in(request)},
         {"service", request.service.str()},
         {"reason", std::string{name_of(refusal.reason)}},
         {"gave_up", request.gave_up ? std::string{name_of(*request.gave_up)} : ""},
         {"segment", segment},
         {"status", std::to_string(status)},
         {"ran", std::string{protocol::name_of(refusal.outcome)}},
         {"sends", std::to_string(request.sends)},
         {"after_ms", after_text(request)},
         {"configuration", routes ? std::to_string(routes->version().count()) : ""},
         {"configuration_age_ms", milliseconds_text(configuration.age)}});
}

void log_failed_attempt(logged_request const& request, logged_attempt const& attempt)
{
    auto const& began_at = attempt.first_event_at;
    log(log_event::attempt_failed,
        {{"request", request.request.id.str()},
         {"route", route_of(request)},
         {"backend", attempt.backend.str()},
         {"send", std::to_string(request.sends)},
         {"cause", std::string{attempt.cause}},
         {"next", std::string{attempt.next}},
         {"relay", attempt.relay.str()},
         {"connection", std::to_string(attempt.trace.connection.local_port)},
         {"connection_request", std::to_string(attempt.trace.connection.requests)},
         {"status", std::to_string(attempt.trace.status)},
         {"named", named_text(attempt.trace)},
         {"body", std::string{attempt.trace.body}},
         {"framing", framing_text(attempt.trace)},
         {"events", std::to_string(attempt.trace.events)},
         {"segments", shared_segments_text(request.request)},
         {"answering_ms", began_at ? milliseconds_text(now() - *began_at) : ""},
         {"after_ms", after_text(request)},
         {"left_ms", milliseconds_text(attempt.time_left)}});
}

void log_dropped_response(
    state::forwarded_request const& waiting, state::backend_id const& server,
    attempt_trace const& response)
{
    log(log_event::response_dropped,
        {{"request", waiting.id.str()},
         {"backend", server.str()},
         {"connection", std::to_string(response.connection.local_port)},
         {"connection_request", std::to_string(response.connection.requests)},
         {"status", std::to_string(response.status)},
         {"named", named_text(response)}});
}

void log_broken_off(
    logged_request const& request, state::refusal_reason reason, std::string const& last_event)
{
    log(log_event::answer_broken_off, {{"request", request.request.id.str()},
                                       {"route", route_of(request)},
                                       {"route_added", route_added_in(request)},
                                       {"service", request.service.str()},
                                       {"reason", std::string{name_of(reason)}},
                                       {"last_event", last_event},
                                       {"after_ms", after_text(request)}});
}

void log_relay_refused(
    state::forwarded_request const& request, state::instance_id const& from,
    protocol::problem const& refusal)
{
    log(log_event::relay_refused, {{"request", request.id.str()},
                                   {"from", from.str()},
                                   {"reason", std::string{name_of(refusal.reason)}},
                                   {"detail", refusal.detail}});
}

void log_caller_left(logged_request const& request)
{
    log(log_event::caller_left, {{"request", request.request.id.str()},
                                 {"route", route_of(request)},
                                 {"after_ms", after_text(request)},
                                 {"sends", std::to_string(request.sends)}});
}

} // namespace auburnweir::transport
