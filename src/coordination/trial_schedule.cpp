#include "coordination/trial_schedule.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

/// Further failures do not make the waits longer: they exceed any quarantine by then.
constexpr std::uint64_t max_counted_failures = 5;

} // namespace

bool trial_schedule::try_start(
    quarantined_group const& group, std::size_t held, state::time_point now)
{
    auto const size = group.segments.size();
    if (auto const last = trials_.find(group.id); last != trials_.end())
    {
        // An answer that has changed the group ends the trial before its timeout.
        bool const is_in_progress =
            last->second.group_size == size && now - last->second.at < settings_.timeout;
        if (is_in_progress)
            return false;
    }
    auto const wait = held >= size ? wait_for_whole(group) : wait_for_part(group);
    if (now - group.decided_at < wait)
        return false;
    trials_[group.id] = {now, size};
    return true;
}

std::optional<state::time_point> trial_schedule::started_at(state::suspect_group group) const
{
    auto const last = trials_.find(group);
    if (last == trials_.end())
        return std::nullopt;
    return last->second.at;
}

void trial_schedule::keep(std::map<state::suspect_group, quarantined_group> const& groups)
{
    std::erase_if(trials_, [&](auto const& entry) { return !groups.contains(entry.first); });
}

state::duration trial_schedule::wait_for_whole(quarantined_group const& group) const
{
    if (group.finding.narrowings == 0)
        return state::duration::zero();
    return settings_.wait_after_narrowing;
}

state::duration trial_schedule::wait_for_part(quarantined_group const& group) const
{
    auto const failures = std::min(group.finding.failed_trials, max_counted_failures);
    if (failures == 0)
        return state::duration::zero();
    auto wait = settings_.wait_after_failure;
    for (std::uint64_t i = 1; i < failures; ++i)
        wait *= settings_.wait_growth;
    return wait;
}

} // namespace auburnweir::coordination
