#ifndef AUBURNWEIR_COORDINATION_TRIAL_GRANTS_HPP
#define AUBURNWEIR_COORDINATION_TRIAL_GRANTS_HPP

#include "state/segment_evidence.hpp"

#include <map>
#include <set>

namespace auburnweir::coordination
{

/// Follower: trials that this instance asks the holder for, and those that it may send.
///
/// Bounded: beyond `max_trials` nothing is asked for. Not thread-safe; part of
/// `segment_quarantine`.
class trial_grants
{
public:
    static constexpr std::size_t max_trials = 64;

    /// Uses a grant; without one, asks for it from time to time.
    /// @return whether the trial may be sent now
    bool try_use(state::wanted_trial const& trial, state::time_point now);

    /// Takes back a grant that was used for a request which was not sent after all.
    void put_back(state::wanted_trial const& trial, state::time_point now);

    /// Whether there are trials that no report has asked for yet.
    bool has_unsent() const { return !wanted_.empty(); }

    /// What the next report asks for.
    std::vector<state::wanted_trial> take_wanted();

    void add(std::vector<state::wanted_trial> const& granted, state::time_point now);

    /// Number of questions and grants for which there was no room.
    std::uint64_t dropped() const { return dropped_; }

private:
    std::set<state::wanted_trial> wanted_;
    std::map<state::wanted_trial, state::time_point> asked_at_;
    std::map<state::wanted_trial, state::time_point> granted_until_;
    std::uint64_t dropped_ = 0;
};

} // namespace auburnweir::coordination

#endif
