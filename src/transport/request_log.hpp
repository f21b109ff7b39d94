#ifndef AUBURNWEIR_TRANSPORT_REQUEST_LOG_HPP
#define AUBURNWEIR_TRANSPORT_REQUEST_LOG_HPP

#include "coordination/response_attribution.hpp"
#include "protocol/problem.hpp"
#include "state/forwarded_request.hpp"
#include "state/route_set.hpp"
#include "state/server_table.hpp"
#include "transport/http_client.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace auburnweir::transport
{

/// What the log lines about one request name.
struct logged_request
{
    state::forwarded_request const& request;
    state::route const* route = nullptr; ///< null when it has none
    int sends = 0;
    state::time_point arrived_at{};
    /// That added the route while this process ran; null otherwise.
    std::optional<state::configuration_version> route_added_in;
    state::service_id service; ///< that the route selects; empty when the request was not admitted
    /// Why the last failed attempt was not followed by another; null when there was no reason to.
    std::optional<state::give_up_reason> gave_up;
};

/// The configuration that a request was handled with.
struct logged_configuration
{
    state::route_set_ptr routes; ///< null: none yet
    state::duration age{0};
};

/// What ties an attempt's response to the attempt.
struct attempt_trace
{
    call_connection connection;
    int status = 0;                                   ///< 0: no response
    std::optional<coordination::response_name> named; ///< null: no response
    std::string_view body; ///< how the relay of the response's body ended; empty: none was relayed
    std::optional<state::body_framing> framing; ///< of the response; null: no response
    std::size_t events = 0;                     ///< that the attempt's stream has sent so far
};

/// A failed attempt and the step after it.
struct logged_attempt
{
    state::backend_id backend;
    std::string_view cause;
    std::string_view next;
    state::instance_id relay; ///< that was asked to relay the attempt; empty: none
    std::optional<state::time_point> first_event_at;
    state::duration time_left{0};
    attempt_trace trace;
};

/// How the response that completed a request came.
struct logged_response
{
    state::backend_id backend;
    state::instance_id relay; ///< that relayed it; empty: none
    std::string last_event; ///< id of the stream's last event; empty: no stream, or none had an id
    attempt_trace trace;
};

void log_finished(
    logged_request const& request, logged_configuration const& configuration,
    logged_response const& response);

/// @param segment  the quarantined segment for which it is refused; empty: none
void log_refused(
    logged_request const& request, logged_configuration const& configuration,
    protocol::problem const& refusal, int status, std::string const& segment);

void log_failed_attempt(logged_request const& request, logged_attempt const& attempt);

/// Logs that a response was dropped, as it is not that of the attempt on its connection.
void log_dropped_response(
    state::forwarded_request const& waiting, state::backend_id const& server,
    attempt_trace const& response);

void log_broken_off(
    logged_request const& request, state::refusal_reason reason, std::string const& last_event);

/// Logs that a request of another instance is not relayed.
void log_relay_refused(
    state::forwarded_request const& request, state::instance_id const& from,
    protocol::problem const& refusal);

void log_caller_left(logged_request const& request);

} // namespace auburnweir::transport

#endif
