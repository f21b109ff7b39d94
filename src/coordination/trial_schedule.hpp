#ifndef AUBURNWEIR_COORDINATION_TRIAL_SCHEDULE_HPP
#define AUBURNWEIR_COORDINATION_TRIAL_SCHEDULE_HPP

#include "coordination/verdict_table.hpp"

namespace auburnweir::coordination
{

struct trial_settings
{
    /// A trial that has shown nothing within this time makes room for the next one.
    state::duration timeout = std::chrono::seconds{2};
    /// Time from the first failed trial to the next one with a part of the group; each further wait
    /// is `wait_growth` times as long.
    state::duration wait_after_failure = std::chrono::seconds{2};
    int wait_growth = 12;
    /// Time from a crash that left segments out of a group to a trial with all others: it may have
    /// had another cause.
    state::duration wait_after_narrowing = std::chrono::seconds{30};
};

/// Holder: when a request that may crash a server is sent, to find out which segment of a group is
/// to blame: one at a time for each group, over all instances.
///
/// Not thread-safe; part of `segment_quarantine`.
class trial_schedule
{
public:
    explicit trial_schedule(trial_settings settings)
        : settings_(settings)
    {
    }

    /// Starts a trial with a request that holds so many of the group's segments, if one may be sent
    /// now.
    bool try_start(quarantined_group const& group, std::size_t held, state::time_point now);

    /// When the last trial of a group was sent; null when it has ended or there was none.
    std::optional<state::time_point> started_at(state::suspect_group group) const;

    /// Ends the last trial of a group: it has crashed a server, or was not sent after all.
    void end(state::suspect_group group) { trials_.erase(group); }

    /// Forgets the trials of all other groups.
    void keep(std::map<state::suspect_group, quarantined_group> const& groups);

private:
    struct trial
    {
        state::time_point at{};
        std::size_t group_size = 0;
    };

    state::duration wait_for_whole(quarantined_group const& group) const;
    state::duration wait_for_part(quarantined_group const& group) const;

    trial_settings settings_;
    std::map<state::suspect_group, trial> trials_; ///< the last ones that have not ended
};

} // namespace auburnweir::coordination

#endif
