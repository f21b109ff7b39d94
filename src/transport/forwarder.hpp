#ifndef AUBURNWEIR_TRANSPORT_FORWARDER_HPP
#define AUBURNWEIR_TRANSPORT_FORWARDER_HPP

#include "coordination/attempt_policy.hpp"
#include "coordination/request_admission.hpp"
#include "transport/attempt_path.hpp"
#include "transport/attempt_recorder.hpp"
#include "transport/caller_watch.hpp"
#include "transport/gateway_context.hpp"
#include "transport/quarantine_gate.hpp"
#include "transport/request_log.hpp"
#include "transport/response_relay.hpp"
#include "transport/response_writer.hpp"
#include "transport/server_liveness.hpp"
#include "transport/server_selector.hpp"

namespace auburnweir::transport
{

/// Handles one request of a caller: admits it on its route, sends it to backend servers and relays
/// the response.
class forwarder
{
public:
    using caller_request = http::request<http::string_body>;

    forwarder(
        gateway_context& context, worker& assigned_worker, beast::tcp_stream& caller,
        response_writer& writer, caller_request request, state::time_point arrived_at);

    net::awaitable<void> run();

private:
    /// Retry-After when every server that was tried is full.
    static constexpr state::duration retry_delay_when_full = std::chrono::milliseconds{400};

    bool admit();
    /// Records which route the request was found to be on.
    void set_route(state::route const* found);
    void count_on_added_route(state::event_counter event);
    bool may_resume_elsewhere();
    /// Whether the server whose response has just ended with its connection has outlived it.
    net::awaitable<bool> has_outlived(state::time_point requested_at);
    net::awaitable<void> run_attempts();
    /// Handles that no server takes a request before `until`.
    net::awaitable<void> wait_or_refuse(state::time_point until);
    net::awaitable<void> run_attempt(state::server_view const& server);
    /// Handles that the peer has not sent the attempt to the server.
    net::awaitable<void> handle_refused_relay(state::server_view const& server);
    net::awaitable<void> handle_response(state::server_view const& server, http_stream response);
    /// Handles a server's own failure. @return whether its response goes to the caller
    net::awaitable<bool> relays_failure(state::server_view const& server, http_stream& response);
    net::awaitable<void> handle_failed_attempt(
        state::server_view const& server, coordination::failed_attempt_kind failed);
    /// Acquires a retry, or uses the one that was acquired before the attempt.
    bool acquire_retry();
    /// Records why the failed attempt is not followed by another.
    void give_up(state::give_up_reason cause);
    net::awaitable<void> finish_not_run(
        state::refusal_reason reason, state::duration retry_after = retry_delay_when_full);
    net::awaitable<void> finish_quarantined(quarantine_refusal const& refused);
    net::awaitable<void> finish_with_unknown_outcome(state::refusal_reason reason);
    net::awaitable<void> send_refusal();

    void set_refusal(state::refusal_reason reason, state::duration retry_after, std::string detail);
    void record_segments(state::server_view const& server, int status, relay_result result);
    void log_attempt(
        state::server_view const& server, std::string_view cause, std::string_view next);
    logged_request logged() const;
    state::duration time_left() const;
    gateway_headers gateway_headers_for(state::server_view const& server) const;

    gateway_context& context_;
    worker& worker_;
    beast::tcp_stream& caller_;
    response_writer& writer_;
    caller_request request_;
    state::time_point arrived_at_;

    state::forwarded_request forwarded_;
    state::route_set_ptr routes_;
    state::route const* route_ = nullptr;
    std::optional<state::configuration_version> route_added_in_;
    state::service_id service_;
    state::organisation_quota const* organisation_ = nullptr;
    state::duration confirmation_age_{0};
    state::time_point deadline_;
    double quota_cost_ = 0;

    std::shared_ptr<call_cancellation> cancel_ = std::make_shared<call_cancellation>();
    attempt_recorder recorder_;
    attempt_path path_; ///< of the last attempt
    quarantine_gate quarantine_;
    server_liveness liveness_;
    coordination::attempt_progress progress_;
    attempt_trace trace_;                                ///< of the last attempt
    std::optional<response_relay> relay_;                ///< set when the request is admitted
    std::optional<server_selector> selector_;            ///< the same
    std::optional<coordination::held_retry> held_retry_; ///< until the server has accepted
    state::listed_server answering_server_;              ///< whose response is relayed
    std::string resume_after_;
    std::optional<state::give_up_reason> gave_up_;
    std::string quarantined_segment_; ///< id of the segment for which the request is refused
    bool done_ = false;
    bool caller_left_ = false;
    std::optional<protocol::problem> refusal_;
};

} // namespace auburnweir::transport

#endif
