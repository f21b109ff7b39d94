#include "coordination/verdict_table.hpp"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace auburnweir::coordination
{

namespace
{

using state::segment_hash;
using state::segment_verdict;
using state::suspect_group;
using state::time_point;

constexpr std::size_t max_verdicts = 8192; ///< a group may be all segments of a request

/// Order in which verdicts of two instances replace each other.
auto precedence(segment_verdict const& v)
{
    return std::make_tuple(v.revision, v.quarantined, v.group, v.finding);
}

} // namespace

std::vector<segment_verdict> groups_that_fit(
    std::vector<segment_verdict> verdicts, std::size_t max_segments)
{
    std::map<suspect_group, std::size_t> sizes;
    for (auto const& v : verdicts)
        ++sizes[v.group];
    std::size_t used = 0;
    for (auto& [group, size] : sizes)
    {
        bool const fits = used + size <= max_segments;
        used += fits ? size : 0;
        size = fits ? size : 0;
    }
    std::erase_if(verdicts, [&](auto const& v) { return sizes[v.group] == 0; });
    return verdicts;
}

bool verdict_table::is_quarantined(segment_hash segment, time_point now) const
{
    auto const found = verdicts_.find(segment);
    return found != verdicts_.end() && found->second.verdict.quarantined &&
           now - found->second.at < quarantine_;
}

segment_verdict const* verdict_table::find(segment_hash segment) const
{
    auto const found = verdicts_.find(segment);
    return found == verdicts_.end() ? nullptr : &found->second.verdict;
}

time_point verdict_table::decided_at(segment_hash segment) const
{
    auto const found = verdicts_.find(segment);
    return found == verdicts_.end() ? time_point{} : found->second.at;
}

std::vector<group_match> verdict_table::matches(
    state::segment_hashes const& request, time_point now) const
{
    std::map<suspect_group, group_match> found;
    std::set<segment_hash> seen;
    for (auto const& segment : request)
    {
        // A prompt may hold a segment several times.
        if (!is_quarantined(segment, now) || !seen.insert(segment).second)
            continue;
        auto const& [verdict, at] = verdicts_.at(segment);
        auto& match = found[verdict.group];
        match.id = verdict.group;
        match.size = groups_.at(verdict.group).size();
        match.finding = verdict.finding;
        match.remaining = at + quarantine_ - now;
        match.held.push_back(segment);
    }
    std::vector<group_match> matches;
    matches.reserve(found.size());
    for (auto& [group, match] : found)
        matches.push_back(std::move(match));
    return matches;
}

std::map<suspect_group, quarantined_group> verdict_table::groups(time_point now) const
{
    std::map<suspect_group, quarantined_group> in_force;
    for (auto const& [id, segments] : groups_)
        for (auto const& segment : segments)
        {
            if (!is_quarantined(segment, now))
                continue;
            auto const& [verdict, at] = verdicts_.at(segment);
            auto& group = in_force[id];
            group.id = id;
            group.segments.push_back(segment);
            group.finding = verdict.finding;
            group.decided_at = at;
        }
    return in_force;
}

bool verdict_table::quarantine(
    suspect_group group, state::segment_hashes const& segments, state::group_finding const& finding,
    time_point now)
{
    auto const added = std::ranges::count_if(
        segments, [&](segment_hash segment) { return !verdicts_.contains(segment); });
    if (verdicts_.size() + static_cast<std::size_t>(added) > max_verdicts)
        return false;
    for (auto const& segment : segments)
    {
        auto const* known = find(segment);
        auto const revision = known ? known->revision + 1 : 1;
        store({segment, revision, true, {}, group, finding}, now);
    }
    return true;
}

void verdict_table::release(segment_hash segment, time_point now)
{
    auto verdict = verdicts_.at(segment).verdict;
    ++verdict.revision;
    verdict.quarantined = false;
    store(verdict, now);
}

std::vector<verdict_change> verdict_table::merge(
    std::vector<segment_verdict> const& newer, time_point now)
{
    std::vector<verdict_change> changes;
    for (auto const& v : newer)
    {
        auto const* known = find(v.segment);
        bool const is_expired = v.age >= 2 * quarantine_;
        if (is_expired || (!known && verdicts_.size() >= max_verdicts))
            continue;
        if (known && precedence(v) <= precedence(*known))
            continue;
        bool const was_quarantined = known && known->quarantined;
        store(v, now - v.age);
        if (was_quarantined != v.quarantined)
            changes.push_back({v.segment, v.quarantined, 0, false});
    }
    return changes;
}

std::vector<segment_verdict> verdict_table::all(time_point now) const
{
    std::vector<segment_verdict> all;
    all.reserve(verdicts_.size());
    for (auto const& [segment, known] : verdicts_)
    {
        all.push_back(known.verdict);
        all.back().age = now - known.at;
    }
    return all;
}

state::verdicts_digest verdict_table::digest() const
{
    std::uint64_t sum = 0;
    for (auto const& [segment, known] : verdicts_)
    {
        auto const& v = known.verdict;
        std::uint64_t const values[]{
            segment.count(),
            v.revision,
            v.quarantined ? 1U : 0U,
            v.group.count(),
            v.finding.confirmed ? 1U : 0U,
            v.finding.crashes,
            v.finding.narrowings,
            v.finding.failed_trials};
        sum ^= XXH3_64bits(values, sizeof values);
    }
    return state::verdicts_digest{sum};
}

void verdict_table::remove_expired(time_point now)
{
    // After its end a verdict is kept once as long: a single crash then renews it.
    for (auto it = verdicts_.begin(); it != verdicts_.end();)
    {
        bool const is_old = now - it->second.at >= 2 * quarantine_;
        if (is_old)
            leave_group(it->second.verdict);
        it = is_old ? verdicts_.erase(it) : std::next(it);
    }
}

void verdict_table::store(segment_verdict const& verdict, time_point at)
{
    if (auto const* known = find(verdict.segment))
        leave_group(*known);
    verdicts_[verdict.segment] = {verdict, at};
    if (verdict.quarantined)
        groups_[verdict.group].insert(verdict.segment);
}

void verdict_table::leave_group(segment_verdict const& verdict)
{
    auto const group = groups_.find(verdict.group);
    if (group == groups_.end())
        return;
    group->second.erase(verdict.segment);
    if (group->second.empty())
        groups_.erase(group);
}

} // namespace auburnweir::coordination
