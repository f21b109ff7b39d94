#include "transport/log.hpp"

#include "transport/bounded_output.hpp"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace auburnweir::transport
{

namespace
{

spdlog::level::level_enum spdlog_level(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warning:
        return spdlog::level::warn;
    case log_level::error:
        break;
    }
    return spdlog::level::err;
}

std::string_view level_name(log_level level)
{
    constexpr std::string_view names[] = {"debug", "info", "warning", "error"};
    return names[static_cast<int>(level)];
}

log_event_description const& description_of(log_event event)
{
    auto const& all = log_catalogue();
    return *std::find_if(all.begin(), all.end(), [&](auto const& d) { return d.event == event; });
}

/// Appends a JSON string; control characters and bytes outside ASCII are replaced by `?`.
void append_quoted(std::string& out, std::string_view value)
{
    out += '"';
    for (unsigned char const c : value)
    {
        if (c == '"' || c == '\\')
            out += '\\';
        out += c < ' ' || c >= 0x7f ? '?' : static_cast<char>(c);
    }
    out += '"';
}

} // namespace

std::vector<log_event_description> const& log_catalogue()
{
    using e = log_event;
    using l = log_level;
    static std::vector<log_event_description> const all{
        {e::entry_started, l::info, "entry_started", "the entry process accepts requests"},
        {e::entry_stopping, l::info, "entry_stopping",
         "shutdown has started: readiness is off, requests in progress are finished or handed "
         "over"},
        {e::entry_stopped, l::info, "entry_stopped", "the process exits"},
        {e::gateway_started, l::info, "gateway_started", "the gateway process accepts requests"},
        {e::gateway_stopping, l::info, "gateway_stopping",
         "shutdown has started: readiness is off, requests in progress are finished"},
        {e::gateway_stopped, l::info, "gateway_stopped", "the process exits"},
        {e::readiness_changed, l::info, "readiness_changed",
         "the response to readiness probes has changed"},
        {e::settings_reloaded, l::info, "settings_reloaded",
         "the settings were read again; changes are in force or need a restart"},
        {e::log_lines_dropped, l::warning, "log_lines_dropped",
         "log lines were dropped because their reader was too slow"},
        {e::configuration_taken, l::info, "configuration_taken", "a service text is in force"},
        {e::configuration_refused, l::error, "configuration_refused",
         "a service text has findings and was not applied; of a gateway's configuration, the part "
         "that `key` names is refused and the others are applied"},
        {e::version_withheld, l::info, "version_withheld",
         "a rollout was requested; the target version gets no requests while the old version has "
         "servers"},
        {e::configuration_outdated, l::warning, "configuration_outdated",
         "the store lists an older configuration than the one in force, which stays in force"},
        {e::platform_unreachable, l::warning, "platform_unreachable",
         "a call to the platform failed; the lists that were last read stay in force"},
        {e::platform_reachable, l::info, "platform_reachable", "the platform responds again"},
        {e::store_lost, l::warning, "store_lost",
         "calls to the store fail; the rows that were last read stay in force up to their maximum "
         "age"},
        {e::store_regained, l::info, "store_regained", "the store responds again"},
        {e::store_restored, l::warning, "store_restored",
         "the store came back from an older copy; what it acknowledged since is gone until it is "
         "written again"},
        {e::backend_leaving, l::info, "backend_leaving",
         "a backend server is leaving and gets no new requests until it is replaced"},
        {e::backend_ejected, l::warning, "backend_ejected",
         "a backend server failed too many times in a row and gets no requests for some time"},
        {e::instance_leaving, l::info, "instance_leaving", "an entry instance is about to stop"},
        {e::instance_appeared, l::info, "instance_appeared",
         "an entry instance was added to the list"},
        {e::instance_gone, l::info, "instance_gone", "an entry instance was removed from the list"},
        {e::backend_listed, l::info, "backend_listed",
         "a backend server was added to the directory"},
        {e::backend_gone, l::info, "backend_gone",
         "a backend server was removed from the directory and gets no more requests"},
        {e::backend_row_unreadable, l::warning, "backend_row_unreadable",
         "a row of the directory does not describe a usable backend server"},
        {e::backend_crashed, l::warning, "backend_crashed",
         "a backend server broke off requests with a prompt and accepts no connections"},
        {e::segment_quarantined, l::warning, "segment_quarantined",
         "requests with a group of prompt segments crash backend servers and are refused"},
        {e::segment_released, l::info, "segment_released",
         "a quarantined segment was answered, or others of its group explain the crashes"},
        {e::backend_limited, l::info, "backend_limited",
         "a backend server named the requests a second that it takes from all instances"},
        {e::backend_limit_lifted, l::info, "backend_limit_lifted",
         "a backend server no longer names a limit"},
        {e::backend_refuses, l::info, "backend_refuses",
         "a backend server turned a request away and wants nothing from this instance for a time"},
        {e::service_unreachable, l::warning, "service_unreachable",
         "no server of a service accepts a connection from this instance; its requests are relayed "
         "by other instances that reach the service"},
        {e::service_reachable, l::info, "service_reachable",
         "a server of a service accepts connections again; requests are sent directly"},
        {e::relay_refused, l::info, "relay_refused",
         "a request of another instance is not relayed from here; nothing was sent"},
        {e::domain_evacuated, l::warning, "domain_evacuated",
         "operators evacuate a failure domain: its servers get no more requests from this "
         "instance; "
         "`source` is the store or the holder of the duties"},
        {e::domain_returned, l::info, "domain_returned",
         "the evacuation of a failure domain has ended: its servers get requests again"},
        {e::backend_cold, l::info, "backend_cold",
         "a backend server is cold for a time and gets few requests; 0 ms: it is warm"},
        {e::instance_ranked, l::info, "instance_ranked",
         "this instance's rank among the known instances has changed; it decides which cold "
         "servers "
         "get requests from here"},
        {e::backend_replaced, l::warning, "backend_replaced",
         "another server answered at the address of a backend server, which gets no requests until "
         "the directory lists it anew, or for a time"},
        {e::stream_moved, l::info, "stream_moved", "an answer continues on another backend server"},
        {e::stream_failed, l::warning, "stream_failed", "an answer could not be completed"},
        {e::journal_adopted, l::warning, "journal_adopted",
         "this instance has adopted a request whose owner is gone"},
        {e::journal_unreplicated, l::warning, "journal_unreplicated",
         "an answer continues without a replica of its journal"},
        {e::ledger_row_malformed, l::error, "ledger_row_malformed",
         "a ledger row could not be decoded; the outcome of its operation counts as unknown"},
        {e::ledger_release_failed, l::warning, "ledger_release_failed",
         "the key of an operation that did not run could not be released; retries get "
         "outcome_unknown"},
        {e::ledger_answer_deferred, l::warning, "ledger_answer_deferred",
         "an answer was returned before its ledger row could be written"},
        {e::review_accepted, l::debug, "review_accepted", "a deferrable request is stored"},
        {e::review_claimed, l::debug, "review_claimed",
         "this instance has claimed a deferrable request"},
        {e::review_finished, l::debug, "review_finished",
         "the answer of a deferrable request is stored"},
        {e::review_failed, l::warning, "review_failed",
         "a deferrable request could not be run and will be claimed again"},
        {e::peer_link_open, l::debug, "peer_link_open", "a peer proved the shared key"},
        {e::peer_link_closed, l::debug, "peer_link_closed", "a peer link was closed"},
        {e::peer_refused, l::warning, "peer_refused", "a peer did not prove the shared key"},
        {e::peer_frame_malformed, l::warning, "peer_frame_malformed",
         "a peer sent a frame that could not be decoded; the link was closed"},
        {e::request_finished, l::info, "request_finished",
         "a request got the complete response of a backend server; `framing` says what marked the "
         "end of the last attempt's body (`length`, `chunks` or `connection`), `events` how many "
         "events that attempt's stream had, `last_event` the id of the last one, `relay` which "
         "instance relayed it"},
        {e::request_refused, l::info, "request_refused",
         "the gateway itself responded to a request; `gave_up` says why its last failed attempt "
         "had no successor (empty: none failed, or no server was left)"},
        {e::attempt_failed, l::info, "attempt_failed",
         "an attempt at a backend server failed; `next` names the next step, `segments` the "
         "deepest "
         "four shared segments of the prompt, `answering_ms` how long the stream had sent events "
         "(empty: none yet), `connection` the local port (0: none), `connection_request` the "
         "number of requests on it so far, `status` that of the response (0: none), `named` "
         "whether it names `this` request, an `other` one or `none`, `body` how its body ended "
         "(empty: before it began), `framing` and `events` as in `request_finished`"},
        {e::caller_left, l::info, "caller_left",
         "a caller closed its connection; its request was cancelled"},
        {e::answer_broken_off, l::warning, "answer_broken_off",
         "a response ended early after its beginning had been forwarded"},
        {e::response_dropped, l::warning, "response_dropped",
         "a response was dropped, as it is not that of the request that waits on its connection; "
         "fields as in `attempt_failed`"},
        {e::lease_taken, l::info, "lease_taken",
         "this instance has acquired the lease on the duties"},
        {e::lease_lost, l::info, "lease_lost",
         "this instance no longer holds the lease on the duties"},
        {e::usage_reported, l::info, "usage_reported", "the usage of a window was reported"},
        {e::fleet_ordered, l::info, "fleet_ordered", "a number of engines was ordered"},
        {e::duty_call_failed, l::warning, "duty_call_failed",
         "a call of a duty was refused or got no response"},
        {e::lease_barred, l::info, "lease_barred",
         "the lease on the duties is free, and this instance waits for `for_ms`, as it made a call "
         "shortly before `holder` did; other instances do not wait"},
        {e::handler_failed, l::error, "handler_failed",
         "a handler threw an exception; its request was dropped"}};
    return all;
}

std::string log_catalogue_markdown()
{
    std::string page = "| event | level | name | meaning |\n| --- | --- | --- | --- |\n";
    for (auto const& d : log_catalogue())
    {
        page += "| AW" + std::to_string(static_cast<int>(d.event)) + " | ";
        page += std::string{level_name(d.level)} + " | `" + std::string{d.name} + "` | ";
        page += std::string{d.meaning} + " |\n";
    }
    return page;
}

void start_log(std::string const& level)
{
    auto logger = std::make_shared<spdlog::logger>("auburnweir", bounded_output());
    logger->set_pattern(
        "{\"time\":\"%Y-%m-%dT%H:%M:%S.%eZ\",\"level\":\"%l\",%v}", spdlog::pattern_time_type::utc);
    logger->set_level(spdlog::level::from_str(level));
    logger->flush_on(spdlog::level::err);
    spdlog::set_default_logger(logger);
}

void log(log_event event, log_fields const& fields)
{
    auto const& d = description_of(event);
    auto const level = spdlog_level(d.level);
    if (!spdlog::should_log(level))
        return;
    std::string line = "\"event\":\"AW" + std::to_string(static_cast<int>(event)) +
                       "\",\"name\":\"" + std::string{d.name} + "\"";
    for (auto const& [key, value] : fields)
    {
        line += ",\"" + std::string{key} + "\":";
        append_quoted(line, value);
    }
    spdlog::log(level, line);
}

void flush_log()
{
    bounded_output()->flush();
}

std::uint64_t log_lines_dropped()
{
    return bounded_output()->dropped();
}

} // namespace auburnweir::transport
