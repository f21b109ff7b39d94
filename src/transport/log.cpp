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

/// Appends a JSON text; bytes outside ASCII are replaced.
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
        {e::entry_started, l::info, "entry_started", "the entry process takes requests"},
        {e::entry_stopping, l::info, "entry_stopping",
         "a stop began: readiness is off, requests in progress are finished or handed over"},
        {e::entry_stopped, l::info, "entry_stopped", "the process ends"},
        {e::gateway_started, l::info, "gateway_started", "the gateway process takes requests"},
        {e::gateway_stopping, l::info, "gateway_stopping",
         "a stop began: readiness is off, requests in progress are finished"},
        {e::gateway_stopped, l::info, "gateway_stopped", "the process ends"},
        {e::readiness_changed, l::info, "readiness_changed",
         "readiness probes are answered otherwise from now on"},
        {e::settings_reloaded, l::info, "settings_reloaded",
         "the settings were read again; what changed needs a restart or is in force"},
        {e::log_lines_dropped, l::warning, "log_lines_dropped",
         "lines were lost because their reader was too slow"},
        {e::configuration_taken, l::info, "configuration_taken", "a service text is in force"},
        {e::configuration_refused, l::error, "configuration_refused",
         "a service text has findings and was not taken"},
        {e::version_withheld, l::info, "version_withheld",
         "a version move was ordered; its target gets no requests while the old version has "
         "servers"},
        {e::platform_unreachable, l::warning, "platform_unreachable",
         "a call to the platform failed; the last known lists stay in force"},
        {e::platform_reachable, l::info, "platform_reachable", "the platform answers again"},
        {e::store_lost, l::warning, "store_lost",
         "the store fails; what was last read stays in force within its bounds"},
        {e::store_regained, l::info, "store_regained", "the store answers again"},
        {e::backend_leaving, l::info, "backend_leaving",
         "a backend server gets no new work until it is replaced"},
        {e::backend_ejected, l::warning, "backend_ejected",
         "a backend server failed too often in a row and gets no work for a while"},
        {e::instance_leaving, l::info, "instance_leaving", "an entry instance is to stop"},
        {e::instance_appeared, l::info, "instance_appeared",
         "an entry instance is new in the list"},
        {e::instance_gone, l::info, "instance_gone", "an entry instance left the list"},
        {e::backend_listed, l::info, "backend_listed", "a backend server is new in the directory"},
        {e::backend_gone, l::info, "backend_gone",
         "a backend server left the directory and gets no more requests"},
        {e::backend_row_unreadable, l::warning, "backend_row_unreadable",
         "a row of the directory names no backend server to use"},
        {e::stream_moved, l::info, "stream_moved", "an answer goes on at another backend server"},
        {e::stream_failed, l::warning, "stream_failed", "an answer could not be finished"},
        {e::journal_adopted, l::warning, "journal_adopted",
         "this instance finishes a request whose owner is gone"},
        {e::journal_unreplicated, l::warning, "journal_unreplicated",
         "an answer goes on without a replica of its journal"},
        {e::ledger_row_malformed, l::error, "ledger_row_malformed",
         "a ledger row could not be read; its operation counts as outcome unknown"},
        {e::ledger_release_failed, l::warning, "ledger_release_failed",
         "a key that did not run could not be released; repeats get outcome_unknown"},
        {e::ledger_answer_deferred, l::warning, "ledger_answer_deferred",
         "an answer was returned before its ledger row could be written"},
        {e::review_accepted, l::debug, "review_accepted", "a deferrable request is stored"},
        {e::review_claimed, l::debug, "review_claimed", "this instance runs a deferrable request"},
        {e::review_finished, l::debug, "review_finished",
         "the answer of a deferrable request is stored"},
        {e::review_failed, l::warning, "review_failed",
         "a deferrable request could not be run now and will be claimed again"},
        {e::peer_link_open, l::debug, "peer_link_open", "a peer proved the shared key"},
        {e::peer_link_closed, l::debug, "peer_link_closed", "a peer link ended"},
        {e::peer_refused, l::warning, "peer_refused", "a peer did not prove the shared key"},
        {e::peer_frame_malformed, l::warning, "peer_frame_malformed",
         "a peer sent a frame that could not be decoded; the link was closed"},
        {e::request_finished, l::info, "request_finished",
         "a request got a backend server's whole answer"},
        {e::request_refused, l::info, "request_refused",
         "a request got an answer of the gateway's own"},
        {e::attempt_failed, l::info, "attempt_failed",
         "one send to a backend server failed; `next` says what followed"},
        {e::caller_left, l::info, "caller_left",
         "a caller closed its connection; its request was cancelled"},
        {e::answer_broken_off, l::warning, "answer_broken_off",
         "an answer ended early after its beginning was passed on"},
        {e::lease_taken, l::info, "lease_taken", "this instance holds the duties"},
        {e::lease_lost, l::info, "lease_lost", "this instance does not hold the duties any more"},
        {e::usage_reported, l::info, "usage_reported", "a window's usage was reported"},
        {e::fleet_ordered, l::info, "fleet_ordered", "a number of engines was ordered"},
        {e::duty_call_failed, l::warning, "duty_call_failed",
         "a call of the duties was refused or got no answer"},
        {e::handler_failed, l::error, "handler_failed",
         "a handler ended by an exception; its request was dropped"}};
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
