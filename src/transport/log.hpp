#ifndef AUBURNWEIR_TRANSPORT_LOG_HPP
#define AUBURNWEIR_TRANSPORT_LOG_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnweir::transport
{

/// Numbered log events. A number is never reused for another event.
enum class log_event : int
{
    entry_started = 1001,
    entry_stopping = 1002,
    entry_stopped = 1003,
    gateway_started = 1004,
    gateway_stopping = 1005,
    gateway_stopped = 1006,
    readiness_changed = 1007,
    settings_reloaded = 1008,
    log_lines_dropped = 1009,
    configuration_taken = 1101,
    configuration_refused = 1102,
    version_withheld = 1103,
    configuration_outdated = 1104,
    platform_unreachable = 1201,
    platform_reachable = 1202,
    store_lost = 1203,
    store_regained = 1204,
    store_restored = 1205,
    backend_leaving = 2101,
    backend_ejected = 2102,
    instance_leaving = 2103,
    instance_appeared = 2104,
    instance_gone = 2105,
    backend_listed = 2106,
    backend_gone = 2107,
    backend_row_unreadable = 2108,
    backend_crashed = 2109,
    segment_quarantined = 2110,
    segment_released = 2111,
    backend_limited = 2112,
    backend_limit_lifted = 2113,
    backend_refuses = 2114,
    service_unreachable = 2115,
    service_reachable = 2116,
    relay_refused = 2117,
    domain_evacuated = 2121,
    domain_returned = 2122,
    backend_cold = 2123,
    instance_ranked = 2124,
    backend_replaced = 2125,
    stream_moved = 2201,
    stream_failed = 2202,
    journal_adopted = 2203,
    journal_unreplicated = 2204,
    ledger_row_malformed = 2301,
    ledger_release_failed = 2302,
    ledger_answer_deferred = 2303,
    review_accepted = 2401,
    review_claimed = 2402,
    review_finished = 2403,
    review_failed = 2404,
    peer_link_open = 3101,
    peer_link_closed = 3102,
    peer_refused = 3103,
    peer_frame_malformed = 3104,
    request_finished = 4001,
    request_refused = 4002,
    attempt_failed = 4003,
    caller_left = 4004,
    answer_broken_off = 4005,
    response_dropped = 4006,
    lease_taken = 5001,
    lease_lost = 5002,
    usage_reported = 5003,
    fleet_ordered = 5004,
    duty_call_failed = 5005,
    lease_barred = 5006,
    handler_failed = 9001
};

enum class log_level
{
    debug,
    info,
    warning,
    error
};

/// One row of the log catalogue.
struct log_event_description
{
    log_event event;
    log_level level;
    std::string_view name;
    std::string_view meaning;
};

/// All events, by number.
std::vector<log_event_description> const& log_catalogue();

/// The catalogue as the table of docs/EVENTS.md.
std::string log_catalogue_markdown();

using log_fields = std::vector<std::pair<std::string_view, std::string>>;

/// Starts logging to standard output, at `level` (`debug`, `info`, `warning`, `error`) and above.
///
/// Lines go through a bounded buffer and are written without blocking; lines that do not fit are
/// dropped and counted.
void start_log(std::string const& level);

/// Logs an event as one JSON object per line, with time, level, event number, name and fields. All
/// logging goes through this function.
void log(log_event event, log_fields const& fields = {});

/// Writes buffered lines until the output would block.
void flush_log();

/// Number of lines dropped since the start.
std::uint64_t log_lines_dropped();

} // namespace auburnweir::transport

#endif
