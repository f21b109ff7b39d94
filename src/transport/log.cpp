#include "transport/log.hpp"

#include <algorithm>
#include <spdlog/sinks/stdout_sinks.h>
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

/// Quotes a value that holds blanks or quotes, and escapes control characters.
std::string quoted(std::string const& value)
{
    bool const plain =
        !value.empty() &&
        std::all_of(
            value.begin(), value.end(),
            [](unsigned char c) { return c > ' ' && c != '"' && c != '\\' && c < 0x7f; });
    if (plain)
        return value;
    std::string out = "\"";
    for (unsigned char const c : value)
    {
        if (c == '"' || c == '\\')
            out += '\\';
        out += c < ' ' || c == 0x7f ? '?' : static_cast<char>(c);
    }
    return out + "\"";
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
        {e::configuration_taken, l::info, "configuration_taken", "a service text is in force"},
        {e::configuration_refused, l::error, "configuration_refused",
         "a service text has findings and was not taken"},
        {e::platform_unreachable, l::warning, "platform_unreachable",
         "a call to the platform failed; the last known lists stay in force"},
        {e::platform_reachable, l::info, "platform_reachable", "the platform answers again"},
        {e::backend_leaving, l::info, "backend_leaving",
         "a backend server gets no new work until it is replaced"},
        {e::backend_ejected, l::warning, "backend_ejected",
         "a backend server failed too often in a row and gets no work for a while"},
        {e::instance_leaving, l::info, "instance_leaving", "an entry instance is to stop"},
        {e::instance_appeared, l::info, "instance_appeared",
         "an entry instance is new in the list"},
        {e::instance_gone, l::info, "instance_gone", "an entry instance left the list"},
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
    auto logger = spdlog::stderr_logger_mt("auburnweir");
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v", spdlog::pattern_time_type::utc);
    logger->set_level(spdlog::level::from_str(level));
    logger->flush_on(spdlog::level::debug);
    spdlog::set_default_logger(logger);
}

void log(log_event event, log_fields const& fields)
{
    auto const& d = description_of(event);
    auto const level = spdlog_level(d.level);
    if (!spdlog::should_log(level))
        return;
    std::string line = "AW" + std::to_string(static_cast<int>(event)) + " " + std::string{d.name};
    for (auto const& [key, value] : fields)
        line += " " + std::string{key} + "=" + quoted(value);
    spdlog::log(level, line);
}

} // namespace auburnweir::transport
