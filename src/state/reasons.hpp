#ifndef AUBURNWEIR_STATE_REASONS_HPP
#define AUBURNWEIR_STATE_REASONS_HPP

#include <cstdint>
#include <string_view>

namespace auburnweir::state
{

/// Why a request is refused or fails; each reason has its own counter.
enum class refusal_reason : std::uint8_t
{
    malformed_request,
    unauthorised,
    unknown_service,
    unknown_operation,
    unknown_request,
    header_too_large,
    body_too_large,
    sender_too_slow,
    queue_full,
    deadline_unreachable,
    deadline_exceeded,
    no_backend,
    backend_failed,
    store_unavailable,
    key_reused,
    key_in_flight,
    outcome_unknown,
    request_id_in_use,
    resume_point_unknown,
    stopping,
    caller_left,
    unknown_route,
    quota_exceeded,
    configuration_unknown,
    configuration_stale,
    backend_full,
    request_memory_exhausted,
    response_memory_exhausted,
    segment_quarantined,
    request_quarantined,
    segment_on_trial,
    backends_closed,
    connections_exhausted,
    no_permitted_backend,
    relay_unauthorised,
    relay_unavailable,
    count_
};

/// Why a request is retried, at the same or another backend server.
enum class retry_reason : std::uint8_t
{
    connect_failed,
    backend_overloaded,
    backend_error,
    stream_cut,
    stream_truncated,
    stream_stalled,
    backend_leaving,
    not_run_by_backend,
    other_backend_at_address,
    response_memory_exhausted,
    relay_refused,
    count_
};

/// Why a failed attempt is not retried.
enum class give_up_reason : std::uint8_t
{
    not_idempotent,
    budget_exhausted,
    deadline_too_close,
    attempts_exhausted,
    segment_quarantined,
    count_
};

/// Counted events other than refusals, retries and give-ups.
enum class event_counter : std::uint8_t
{
    requests_accepted,
    requests_completed,
    added_route_requests,         ///< on routes that were added while this process ran
    added_route_requests_refused, ///< and those that this instance answered itself
    added_route_requests_relayed, ///< and those that got a server's complete response
    callers_left,
    tokens_streamed,
    tokens_recomputed,
    tokens_superseded,
    streams_continued,
    streams_moved_by_export,
    streams_replayed,
    journals_adopted,
    journals_unreplicated,
    ledger_operations,
    ledger_rows_written,
    ledger_writes,
    ledger_writes_settled_by_read,
    ledger_answers_repeated,
    reviews_accepted,
    reviews_claimed,
    reviews_completed,
    backend_attempts,
    backends_ejected,
    prefix_hits,
    requests_forwarded,
    streams_resumed,
    late_answers_dropped,            ///< responses that name another request
    unnamed_answers_dropped,         ///< responses that name no request and may be an earlier one's
    events_too_long,                 ///< of streams, which end the attempt
    streams_ended_inside_event,      ///< the body ended there, so the stream is broken off
    streams_ended_without_event,     ///< the same before the first event
    responses_ended_with_connection, ///< relayed responses with neither a length nor chunks
    responses_outlived,              ///< and those whose server is known to have run on
    responses_unconfirmed,           ///< and those that count as lost, as it is not known
    liveness_questions,              ///< that were sent to find that out
    usage_reports_sent,
    fleet_orders_sent,
    duty_claims_barred, ///< of a free lease, as this instance acted shortly before its last holder
    store_calls,
    backend_crashes_seen,
    segments_quarantined,
    segments_released,
    quarantined_segments_not_stored, ///< in each write of the verdicts, as they were too many
    quarantine_trials, ///< doubtful requests that were sent to show whether a segment is sound
    backend_limits_changed,
    malformed_statements,
    backends_said_leaving,
    backend_return_times_named,
    store_restores_seen, ///< eras of the store that began while this process ran
    idle_connections_expired,
    idle_connections_evicted, ///< too many, or their descriptors were needed
    idle_connections_to_gone_servers,
    idle_connections_ended,       ///< by the server
    connections_full_of_refusals, ///< closed, as more refused requests are not remembered
    descriptors_exhausted,        ///< failures to accept a connection
    directory_rows_held_back,     ///< in each reading, rows of a copy that may list gone servers
    domains_evacuated,            ///< evacuations of failure domains that began
    domains_returned,             ///< and those that ended
    requests_placed_over_deployment,
    requests_placed_in_subset,
    requests_left_lane,         ///< their lane had no server
    backend_cold_times_changed, ///< by answers, from warm to cold or the reverse
    services_lost,              ///< of which no server accepted a connection any more
    services_regained,
    reach_probes,                ///< connections that were tried to find that out
    attempts_relayed,            ///< by other instances, as this one did not reach the service
    attempts_relayed_for_others, ///< to servers, as another instance did not reach them
    crashes_discounted,          ///< the link to the servers was cut
    backends_replaced,           ///< another server answered at their addresses
    count_
};

std::string_view name_of(refusal_reason reason);
std::string_view name_of(retry_reason reason);
std::string_view name_of(give_up_reason reason);
std::string_view name_of(event_counter event);

} // namespace auburnweir::state

#endif
