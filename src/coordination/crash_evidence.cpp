#include "coordination/crash_evidence.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

using state::segment_hash;
using state::server_process_hash;
using state::time_point;

constexpr std::size_t max_segments = 16384;

/// A segment with fewer crashes is most likely that of a bystander.
constexpr std::size_t min_crashes_to_keep = 2;

/// The histories' number divided by this is removed when they are too many.
constexpr std::size_t removed_share = 4;

void erase_if(crashed_servers& servers, auto const& condition)
{
    for (auto it = servers.begin(); it != servers.end();)
        it = condition(*it) ? servers.erase(it) : std::next(it);
}

time_point last_event(segment_history const& history)
{
    return std::max(history.answered_at.value_or(time_point{}), history.last_recorded_at);
}

} // namespace

segment_history const* crash_evidence::find(segment_hash segment) const
{
    auto const found = histories_.find(segment);
    return found == histories_.end() ? nullptr : &found->second;
}

crashed_servers crash_evidence::crashes_recorded_by(time_point time, segment_hash segment) const
{
    auto const* history = find(segment);
    if (!history)
        return {};
    auto crashes = history->crashes;
    erase_if(crashes, [&](auto const& server) { return events_.recorded_at(server) > time; });
    return crashes;
}

std::size_t crash_evidence::crash_count(segment_hash segment) const
{
    auto const* history = find(segment);
    return history ? history->crashes.size() : 0;
}

void crash_evidence::add_crash(
    server_process_hash server, state::segment_hashes const& segments, time_point at,
    time_point now)
{
    if (now - at > memory_)
        return;
    if (auto const forgotten = events_.record(server, at, now))
        forget_crash(*forgotten);
    auto const ended_at = events_.ended_at(server);
    if (!ended_at)
        return;
    auto& recorded = segments_by_crash_[server];
    for (auto const& segment : segments)
    {
        auto& history = history_of(segment);
        bool const was_answered = history.answered_at && *history.answered_at >= *ended_at;
        if (was_answered || history.crashes.contains(server))
            continue;
        if (recorded.size() >= max_segments)
        {
            ++dropped_;
            continue;
        }
        history.crashes.insert(server);
        history.last_recorded_at = now;
        recorded.push_back(segment);
        ++revision_;
    }
}

bool crash_evidence::add_answer(segment_hash segment, time_point at)
{
    auto& history = history_of(segment);
    history.answered_at = std::max(history.answered_at.value_or(at), at);
    auto const had_crashes = history.crashes.size();
    erase_if(history.crashes, [&](auto const& server) { return events_.ended_at(server) <= at; });
    if (history.crashes.size() != had_crashes)
        ++revision_;
    return had_crashes > 0 && history.crashes.empty();
}

std::optional<time_point> crash_evidence::take_unreported_answer(segment_hash segment)
{
    auto const found = histories_.find(segment);
    if (found == histories_.end())
        return std::nullopt;
    auto& history = found->second;
    if (!history.answered_at || history.reported_answer == history.answered_at)
        return std::nullopt;
    history.reported_answer = history.answered_at;
    return history.answered_at;
}

state::segment_observations crash_evidence::summary(std::size_t max_crashes, time_point now) const
{
    using entry = std::pair<segment_hash const, segment_history>;
    std::vector<entry const*> by_crashes;
    for (auto const& known : histories_)
        if (!known.second.crashes.empty())
            by_crashes.push_back(&known);
    std::ranges::stable_sort(
        by_crashes, std::greater{}, [](entry const* e) { return e->second.crashes.size(); });
    state::segment_observations found;
    std::map<server_process_hash, state::segment_hashes> segments_by_crash;
    std::size_t used = 0;
    for (auto const* e : by_crashes)
    {
        auto const& [segment, history] = *e;
        used += history.crashes.size();
        if (used > max_crashes)
            break;
        for (auto const& server : history.crashes)
            segments_by_crash[server].push_back(segment);
        if (history.answered_at)
            found.answers.push_back({segment, now - *history.answered_at});
    }
    for (auto& [server, segments] : segments_by_crash)
        found.crashes.push_back({server, std::move(segments), now - *events_.ended_at(server)});
    return found;
}

void crash_evidence::remove_expired(time_point now)
{
    for (auto const& server : events_.remove_expired(now))
        forget_crash(server);
    for (auto& [segment, history] : histories_)
        if (history.answered_at && now - *history.answered_at > memory_)
            history.answered_at.reset();
    std::erase_if(
        histories_, [](auto const& entry)
        { return entry.second.crashes.empty() && !entry.second.answered_at; });
}

segment_history& crash_evidence::history_of(segment_hash segment)
{
    auto const found = histories_.find(segment);
    if (found != histories_.end())
        return found->second;
    if (histories_.size() >= max_segments)
        remove_least_useful();
    return histories_[segment];
}

void crash_evidence::forget_crash(server_process_hash server)
{
    auto const recorded = segments_by_crash_.find(server);
    if (recorded == segments_by_crash_.end())
        return;
    for (auto const& segment : recorded->second)
        if (auto const found = histories_.find(segment); found != histories_.end())
            found->second.crashes.erase(server);
    segments_by_crash_.erase(recorded);
}

void crash_evidence::remove_least_useful()
{
    struct candidate
    {
        std::size_t crashes = 0;
        time_point last_event{};
        segment_hash segment;

        auto operator<=>(candidate const&) const = default;
    };
    std::vector<candidate> candidates;
    candidates.reserve(histories_.size());
    for (auto const& [segment, history] : histories_)
        candidates.push_back(
            {std::min(history.crashes.size(), min_crashes_to_keep), last_event(history), segment});
    auto const removed = static_cast<std::ptrdiff_t>(candidates.size() / removed_share);
    std::ranges::nth_element(candidates, candidates.begin() + removed);
    for (auto it = candidates.begin(); it != candidates.begin() + removed; ++it)
    {
        dropped_ += it->crashes > 0 ? 1 : 0;
        histories_.erase(it->segment);
    }
}

} // namespace auburnweir::coordination
