#include "coordination/suspect_finder.hpp"

#include <algorithm>
#include <tuple>

namespace auburnweir::coordination
{

namespace
{

using state::segment_hash;
using state::server_process_hash;

crashed_servers without(crashed_servers const& crashes, crashed_servers const& explained)
{
    crashed_servers rest;
    std::ranges::set_difference(crashes, explained, std::inserter(rest, rest.end()));
    return rest;
}

} // namespace

std::optional<suspicion> suspect_finder::strongest() const
{
    auto const explained = explained_without(std::nullopt);
    suspicion strongest;
    // The segments of other requests that were running at the servers explain their crashes as
    // well, but servers have answered these.
    std::tuple<bool, std::size_t, std::size_t> most{};
    for (auto const& [segment, history] : evidence_.histories())
    {
        if (history.crashes.empty() || verdicts_.is_quarantined(segment, now_))
            continue;
        auto const reported = reported_crashes(segment);
        auto crashes = without(reported, explained);
        bool const shares_crashes = crashes.size() < reported.size();
        auto const weight = evidence_.events().weight_of(crashes);
        auto const needed = needed_crashes(segment, history, shares_crashes);
        std::tuple const rank{!history.answered_at, weight.events, crashes.size()};
        // When all servers end at once, nothing can be answered for a while.
        auto const counted = history.answered_at ? weight.events : weight.servers;
        if (counted < needed || rank < most || !is_settled(crashes))
            continue;
        if (rank > most)
        {
            most = rank;
            strongest = {{segment}, std::move(crashes), weight.events >= needed};
        }
        else if (crashes == strongest.crashes)
        {
            strongest.segments.push_back(segment);
            strongest.confirmed = strongest.confirmed || weight.events >= needed;
        }
    }
    if (strongest.segments.empty())
        return std::nullopt;
    return strongest;
}

group_progress suspect_finder::progress_of(
    quarantined_group const& group, std::optional<state::time_point> trial_at) const
{
    auto const& events = evidence_.events();
    std::map<segment_hash, crashed_servers> crashes;
    std::map<server_process_hash, std::size_t> segments_by_crash;
    std::size_t most_events = 0;
    for (auto const& segment : group.segments)
    {
        auto const& servers = crashes[segment] = reported_crashes(segment);
        for (auto const& server : servers)
            ++segments_by_crash[server];
        most_events = std::max(most_events, events.weight_of(servers).events);
    }
    group_progress progress;
    crashed_servers under_all;
    std::optional<std::pair<state::time_point, server_process_hash>> trial_crash;
    for (auto const& [server, segments] : segments_by_crash)
    {
        if (segments == group.segments.size())
            under_all.insert(server);
        if (is_considered(server, group.decided_at))
            continue;
        ++progress.new_crashes;
        auto const at = *events.ended_at(server);
        bool const is_of_trial =
            trial_at && at >= *trial_at && at - *trial_at < settings_.trial_blame_time;
        if (is_of_trial && (!trial_crash || at < trial_crash->first))
            trial_crash = {at, server};
    }
    progress.trial_failed = trial_crash.has_value();
    progress.is_confirmed = (trial_crash && under_all.contains(trial_crash->second)) ||
                            events.weight_of(under_all).events >= settings_.min_crashes;
    for (auto const& [segment, servers] : crashes)
    {
        bool const is_distinct =
            most_events >= events.weight_of(servers).events + settings_.min_distinguishing_events;
        bool const lacks_trial = trial_crash && !servers.contains(trial_crash->second);
        progress.is_confirmed = progress.is_confirmed || is_distinct;
        (is_distinct || lacks_trial ? progress.cleared : progress.remaining).push_back(segment);
    }
    return progress;
}

bool suspect_finder::is_considered(server_process_hash server, state::time_point decided_at) const
{
    auto const& events = evidence_.events();
    return events.recorded_at(server) <= decided_at - settings_.report_time ||
           events.ended_at(server) <= decided_at - settings_.max_report_delay;
}

bool suspect_finder::is_refuted(quarantined_group const& group) const
{
    if (group.finding.narrowings == 0)
        return false;
    auto const crashes = reported_crashes(group.segments.front());
    auto const unexplained = without(crashes, explained_without(group.id));
    return unexplained.size() < crashes.size() &&
           evidence_.events().weight_of(unexplained).events < settings_.min_crashes;
}

crashed_servers suspect_finder::reported_crashes(segment_hash segment) const
{
    return evidence_.crashes_recorded_by(now_ - settings_.report_time, segment);
}

bool suspect_finder::is_settled(crashed_servers const& crashes) const
{
    return std::ranges::any_of(
        crashes, [&](server_process_hash const& server)
        { return evidence_.events().recorded_at(server) <= now_ - settings_.settle_time; });
}

crashed_servers suspect_finder::explained_without(std::optional<state::suspect_group> group) const
{
    crashed_servers servers;
    for (auto const& [id, other] : verdicts_.groups(now_))
        for (auto const& segment : other.segments)
            if (auto const* history = evidence_.find(segment); history && id != group)
                servers.insert(history->crashes.begin(), history->crashes.end());
    return servers;
}

std::size_t suspect_finder::needed_crashes(
    segment_hash segment, segment_history const& history, bool shares_crashes) const
{
    auto const* known = verdicts_.find(segment);
    if (known && known->quarantined)
        return 1;
    bool const was_spared = shares_crashes && (known || history.answered_at);
    if (was_spared)
        return settings_.min_crashes_after_sparing;
    return history.answered_at ? settings_.min_crashes_after_answers : settings_.min_crashes;
}

} // namespace auburnweir::coordination
