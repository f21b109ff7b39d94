#include "state/reasons.hpp"

#include <array>

namespace auburnweir::state
{

namespace
{
constexpr std::array<std::string_view, static_cast<std::size_t>(refusal_reason::count_)>
    refusal_reason_names{
        "malformed_request",
        "unauthorised",
        "unknown_service",
        "unknown_operation",
        "unknown_request",
        "header_too_large",
        "body_too_large",
        "sender_too_slow",
        "queue_full",
        "deadline_unreachable",
        "deadline_exceeded",
        "no_backend",
        "backend_failed",
        "store_unavailable",
        "key_reused",
        "key_in_flight",
        "outcome_unknown",
        "request_id_in_use",
        "resume_point_unknown",
        "stopping",
        "caller_left",
        "unknown_route",
        "quota_exceeded",
        "configuration_unknown",
        "configuration_stale",
        "backend_full",
        "request_memory_exhausted",
        "response_memory_exhausted",
        "segment_quarantined",
        "request_quarantined",
        "segment_on_trial",
        "backends_closed",
        "connections_exhausted",
        "no_permitted_backend",
        "relay_unauthorised",
        "relay_unavailable",
    };

constexpr std::array<std::string_view, static_cast<std::size_t>(retry_reason::count_)>
    retry_reason_names{
        "connect_failed",
        "backend_overloaded",
        "backend_error",
        "stream_cut",
        "stream_truncated",
        "stream_stalled",
        "backend_leaving",
        "not_run_by_backend",
        "other_backend_at_address",
        "response_memory_exhausted",
        "relay_refused",
    };

constexpr std::array<std::string_view, static_cast<std::size_t>(give_up_reason::count_)>
    give_up_reason_names{
        "not_idempotent",     "budget_exhausted",    "deadline_too_close",
        "attempts_exhausted", "segment_quarantined",
    };

constexpr std::array<std::string_view, static_cast<std::size_t>(event_counter::count_)>
    event_counter_names{
        "requests_accepted",
        "requests_completed",
        "added_route_requests",
        "added_route_requests_refused",
        "added_route_requests_relayed",
        "callers_left",
        "tokens_streamed",
        "tokens_recomputed",
        "tokens_superseded",
        "streams_continued",
        "streams_moved_by_export",
        "streams_replayed",
        "journals_adopted",
        "journals_unreplicated",
        "ledger_operations",
        "ledger_rows_written",
        "ledger_writes",
        "ledger_writes_settled_by_read",
        "ledger_answers_repeated",
        "reviews_accepted",
        "reviews_claimed",
        "reviews_completed",
        "backend_attempts",
        "backends_ejected",
        "prefix_hits",
        "requests_forwarded",
        "streams_resumed",
        "late_answers_dropped",
        "unnamed_answers_dropped",
        "events_too_long",
        "streams_ended_inside_event",
        "streams_ended_without_event",
        "responses_ended_with_connection",
        "responses_outlived",
        "responses_unconfirmed",
        "liveness_questions",
        "usage_reports_sent",
        "fleet_orders_sent",
        "duty_claims_barred",
        "store_calls",
        "backend_crashes_seen",
        "segments_quarantined",
        "segments_released",
        "quarantined_segments_not_stored",
        "quarantine_trials",
        "backend_limits_changed",
        "malformed_statements",
        "backends_said_leaving",
        "backend_return_times_named",
        "store_restores_seen",
        "idle_connections_expired",
        "idle_connections_evicted",
        "idle_connections_to_gone_servers",
        "idle_connections_ended",
        "connections_full_of_refusals",
        "descriptors_exhausted",
        "directory_rows_held_back",
        "domains_evacuated",
        "domains_returned",
        "requests_placed_over_deployment",
        "requests_placed_in_subset",
        "requests_left_lane",
        "backend_cold_times_changed",
        "services_lost",
        "services_regained",
        "reach_probes",
        "attempts_relayed",
        "attempts_relayed_for_others",
        "crashes_discounted",
        "backends_replaced",
    };

} // namespace

std::string_view name_of(refusal_reason value)
{
    return refusal_reason_names.at(static_cast<std::size_t>(value));
}

std::string_view name_of(retry_reason value)
{
    return retry_reason_names.at(static_cast<std::size_t>(value));
}

std::string_view name_of(give_up_reason value)
{
    return give_up_reason_names.at(static_cast<std::size_t>(value));
}

std::string_view name_of(event_counter value)
{
    return event_counter_names.at(static_cast<std::size_t>(value));
}

} // namespace auburnweir::state
