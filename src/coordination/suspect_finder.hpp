#ifndef AUBURNWEIR_COORDINATION_SUSPECT_FINDER_HPP
#define AUBURNWEIR_COORDINATION_SUSPECT_FINDER_HPP

#include "coordination/crash_evidence.hpp"
#include "coordination/verdict_table.hpp"

namespace auburnweir::coordination
{

/// When segments count as the cause of crashes.
struct suspicion_settings
{
    /// Crashes of different server processes since the segment's last answer; in that many separate
    /// events they confirm the suspicion.
    std::size_t min_crashes = 3;
    /// The same for a segment whose requests were answered before.
    std::size_t min_crashes_after_answers = 5;
    /// The same for a segment that shares crashes with a group but is not in it: others explained a
    /// crash more, or were less often answered.
    std::size_t min_crashes_after_sparing = 2;
    /// A segment leaves its group when others explain so many events more, so that one unrelated
    /// crash decides nothing.
    std::size_t min_distinguishing_events = 2;
    /// A crash within this time of a trial counts as caused by it.
    state::duration trial_blame_time = std::chrono::seconds{10};
    /// Time in which all instances have reported what they had at a server that crashed.
    state::duration report_time = std::chrono::milliseconds{300};
    /// The longest time from a crash to its report.
    state::duration max_report_delay = std::chrono::seconds{2};
    /// Time from the first crash to the verdict, so that answers that other instances have relayed
    /// since arrive first.
    state::duration settle_time = std::chrono::milliseconds{1000};
};

/// Segments that explain the same crashes, which no verdict explains.
struct suspicion
{
    state::segment_hashes segments;
    crashed_servers crashes;
    bool confirmed = false; ///< by separate events
};

/// What the crashes show of a group.
struct group_progress
{
    state::segment_hashes remaining; ///< segments that may be to blame
    state::segment_hashes cleared;   ///< segments that lack crashes which the others explain
    std::size_t new_crashes = 0;     ///< under any of the segments, that the verdict lacks
    bool trial_failed = false;
    bool is_confirmed = false; ///< by a trial, or by several events
};

/// Finds out what crashes say of segments, from the evidence and the verdicts at one moment. Only
/// crashes count of which all instances have reported.
class suspect_finder
{
public:
    suspect_finder(
        suspicion_settings const& settings, crash_evidence const& evidence,
        verdict_table const& verdicts, state::time_point now)
        : settings_(settings)
        , evidence_(evidence)
        , verdicts_(verdicts)
        , now_(now)
    {
    }

    /// The segments that explain most of the crashes that no verdict explains, if they are enough.
    std::optional<suspicion> strongest() const;

    /// @param trial_at  when the last trial of the group was sent; null when there is none
    group_progress progress_of(
        quarantined_group const& group, std::optional<state::time_point> trial_at) const;

    /// Whether other groups explain the crashes of a group that a crash has narrowed.
    bool is_refuted(quarantined_group const& group) const;

private:
    /// Crashes of a segment of which all instances have reported.
    crashed_servers reported_crashes(state::segment_hash segment) const;
    /// Whether the first of these crashes is so long ago that the answers since are known.
    bool is_settled(crashed_servers const& crashes) const;
    /// Crashes of the quarantined segments, but for those of one group.
    crashed_servers explained_without(std::optional<state::suspect_group> group) const;
    bool is_considered(state::server_process_hash server, state::time_point decided_at) const;
    std::size_t needed_crashes(
        state::segment_hash segment, segment_history const& history, bool shares_crashes) const;

    suspicion_settings const& settings_;
    crash_evidence const& evidence_;
    verdict_table const& verdicts_;
    state::time_point now_;
};

} // namespace auburnweir::coordination

#endif
