#include "coordination/trial_grants.hpp"

namespace auburnweir::coordination
{

namespace
{

/// Shorter than the time after which the holder grants the next trial.
constexpr state::duration grant_lifetime = std::chrono::seconds{1};

/// Time from one question for the same trial to the next, so that the reports of many instances do
/// not flood the holder.
constexpr state::duration question_interval = std::chrono::milliseconds{200};

} // namespace

bool trial_grants::try_use(state::wanted_trial const& trial, state::time_point now)
{
    std::erase_if(granted_until_, [&](auto const& entry) { return entry.second <= now; });
    if (granted_until_.erase(trial) > 0)
        return true;
    std::erase_if(
        asked_at_, [&](auto const& entry) { return now - entry.second >= question_interval; });
    if (asked_at_.contains(trial))
        return false;
    if (asked_at_.size() >= max_trials)
    {
        ++dropped_;
        return false;
    }
    asked_at_.emplace(trial, now);
    wanted_.insert(trial);
    return false;
}

void trial_grants::put_back(state::wanted_trial const& trial, state::time_point now)
{
    add({trial}, now);
}

std::vector<state::wanted_trial> trial_grants::take_wanted()
{
    std::vector<state::wanted_trial> wanted(wanted_.begin(), wanted_.end());
    wanted_.clear();
    return wanted;
}

void trial_grants::add(std::vector<state::wanted_trial> const& granted, state::time_point now)
{
    for (auto const& trial : granted)
    {
        if (granted_until_.size() < max_trials)
            granted_until_[trial] = now + grant_lifetime;
        else
            ++dropped_;
    }
}

} // namespace auburnweir::coordination
