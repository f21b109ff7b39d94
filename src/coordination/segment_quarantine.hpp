#ifndef AUBURNWEIR_COORDINATION_SEGMENT_QUARANTINE_HPP
#define AUBURNWEIR_COORDINATION_SEGMENT_QUARANTINE_HPP

#include "coordination/answered_requests.hpp"
#include "coordination/loss_table.hpp"
#include "coordination/observation_queue.hpp"
#include "coordination/request_evidence.hpp"
#include "coordination/suspect_finder.hpp"
#include "coordination/trial_grants.hpp"
#include "coordination/trial_schedule.hpp"
#include "state/lock_rank.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace auburnweir::coordination
{

/// When segments count as the cause of crashes, and for how long.
struct quarantine_settings
{
    suspicion_settings suspicion;
    crash_event_settings events;
    trial_settings trials;
    state::duration quarantine = std::chrono::minutes{10};
    /// Requests with a part of a group that explains fewer crashes are sent at once.
    std::size_t min_crashes_for_trials = 5;
    /// After this time a request that was refused because a trial was in progress may come again.
    state::duration retry_delay = std::chrono::seconds{1};
};

/// Differs between snapshots of one instance whose contents differ.
struct snapshot_version
{
    state::verdicts_digest verdicts{0};
    std::uint64_t evidence = 0;

    friend bool operator==(snapshot_version const&, snapshot_version const&) = default;
};

/// The request may be sent.
struct not_quarantined
{
};

/// A request has all segments of a group whose requests crash servers, or is a repeat of one that
/// does.
struct quarantined_segment
{
    std::string id; ///< the first of the group in the request; empty for a repeat of a request
    state::duration remaining{0};
};

/// A request has segments of a group, and it is open whether it crashes a server. It is sent as a
/// trial only, see `try_acquire_trial`.
struct doubtful_request
{
    quarantined_segment segment; ///< unless it is sent as a trial
    state::suspect_group group;
    std::size_t held = 0; ///< segments of the group that the request holds
};

using quarantine_decision = std::variant<not_quarantined, quarantined_segment, doubtful_request>;

/// What was dropped as there was no room for it.
struct evidence_drops
{
    std::uint64_t evidence = 0; ///< lost segments, reports, crashes, groups, questions for trials
    std::uint64_t answers = 0;  ///< of requests that no crash has named
};

/// Finds the prompt segments whose requests crash backend servers, from the crashes and answers
/// that all instances saw.
///
/// Answers the pattern in which requests that share one segment end each server that begins to
/// answer them: each instance sees few of them and many bystanders. The fingerprint of a request
/// counts as a segment that its repeats share. A segment is suspected when several processes ended
/// under its requests and none was answered since. The segments that explain most crashes, and the
/// same ones, are quarantined as a group; the crashes that they explain count for no other segment.
///
/// One segment of a group is to blame, and it is not known which. When separate crashes confirm
/// the group, requests with all of its segments are refused. An answer to a request with a part of
/// it releases the segments that it has; a crash under it leaves the other segments out of the
/// group. Such requests, and those with all of a group that nothing confirms yet, are sent: at once
/// after few crashes, else as trials, one at a time over all instances.
///
/// Each instance records what it sees; the holder of the duties merges the reports and decides, and
/// its responses carry the verdicts. All tables are bounded. Thread-safe; takes
/// `lock_rank::segment_quarantine`. Never reads a clock.
class segment_quarantine
{
public:
    explicit segment_quarantine(quarantine_settings settings = {});

    /// Records that a server process broke off a request before it was answered.
    /// @return true when nothing checks yet whether the process has ended: the caller does, and
    ///         calls `confirm_crash` or `dismiss_losses`
    bool record_loss(
        state::server_process_hash server, state::segment_hashes const& segments,
        state::time_point now);

    /// Turns the recent losses at a server process into crash evidence.
    /// @return whether there were any
    bool confirm_crash(state::server_process_hash server, state::time_point now);

    /// Whether losses at a server process wait for `confirm_crash` or `dismiss_losses`.
    bool has_losses(state::server_process_hash server) const;

    /// Forgets the losses at a server process that is still there.
    void dismiss_losses(state::server_process_hash server);

    /// Records that a request was answered.
    std::vector<verdict_change> record_answer(
        state::forwarded_request const& request, state::time_point now);

    /// Whether a request may be sent.
    quarantine_decision judge(state::forwarded_request const& request, state::time_point now) const;

    /// Whether a doubtful request with segments of this group is sent now as a trial. A follower
    /// asks the holder with its next report, so a later call may succeed.
    bool try_acquire_trial(doubtful_request const& request, state::time_point now);

    /// Takes back a trial whose request no server has run.
    void return_trial(doubtful_request const& request, state::time_point now);

    /// Decides on the suspected segments; called by the holder, and by instances without one.
    std::vector<verdict_change> decide(state::time_point now);

    /// Evidence for the next report. It is sent again until a response acknowledges it.
    /// @param all  also what an earlier holder has acknowledged
    state::segment_observations begin_report(
        std::uint64_t sequence, bool all, state::time_point now);

    /// Whether there is something to report that the holder decides on.
    bool report_is_urgent() const;

    /// Holder: merges a report.
    std::vector<verdict_change> merge(
        state::segment_observations const& report, state::time_point now);

    /// Holder: what the response to a report says.
    state::segment_verdicts response_to(
        state::segment_observations const& report, state::time_point now);

    /// Follower: applies the response to the report `sequence`.
    std::vector<verdict_change> apply(
        state::segment_verdicts const& response, std::uint64_t sequence, state::time_point now);

    /// What instances have to know when they start and none is left that knows it: the verdicts in
    /// force and the crashes that may lead to others.
    /// @param max_crashes  of all segments together; those of the segments with most come first
    state::segment_observations snapshot(std::size_t max_crashes, state::time_point now) const;

    /// Identifies what a snapshot holds.
    snapshot_version current_snapshot() const;

    /// Takes over a snapshot.
    std::vector<verdict_change> restore(
        state::segment_observations const& stored, state::time_point now);

    /// Number of segments in quarantine.
    std::size_t quarantined_count(state::time_point now) const;

    /// What the bounds of the tables have cost so far.
    evidence_drops drops() const;

    /// Verdicts in force, for status output.
    std::vector<state::segment_verdict> verdicts(state::time_point now) const;

private:
    /// Adds the answer that was remembered for a request before there was evidence on it.
    void recall_answer(state::segment_hash fingerprint);
    void add_crash(state::server_crash const& crash, state::time_point at, state::time_point now);
    /// @return the release of the segment, if the answer shows that it crashes no server
    std::optional<verdict_change> add_answer(
        state::segment_hash segment, state::time_point at, state::time_point now);
    std::vector<verdict_change> merge_verdicts(
        std::vector<state::segment_verdict> const& newer, state::time_point now);
    void queue_answer(state::segment_hash segment);
    /// Records what the crashes since the verdicts show, and leaves segments out of their group
    /// when the others explain more crashes.
    std::vector<verdict_change> update_groups(state::time_point now);
    /// Releases narrowed groups whose crashes other groups explain.
    std::vector<verdict_change> release_refuted_groups(state::time_point now);
    std::vector<verdict_change> quarantine_suspects(state::time_point now);
    bool try_start_trial(state::wanted_trial const& trial, state::time_point now);
    std::vector<state::segment_verdict> verdicts_in_force(state::time_point now) const;
    state::segment_hashes next_suspects();
    suspect_finder finder(state::time_point now) const;
    verdict_change released(state::segment_hash segment, state::time_point now);
    void remove_expired(state::time_point now);

    quarantine_settings settings_;
    mutable state::ranked_mutex mutex_{state::lock_rank::segment_quarantine};
    loss_table losses_;
    crash_evidence evidence_;
    verdict_table verdicts_;
    trial_schedule trials_;     ///< used by the holder
    trial_grants trial_grants_; ///< used by the others
    answered_requests answered_requests_;
    observation_queue<state::server_crash> outgoing_crashes_;
    observation_queue<state::segment_answer> outgoing_answers_;
    std::uint64_t dropped_groups_ = 0;
    state::segment_hash last_suspect_asked_for_{0};
    bool verdicts_requested_ = false;     ///< the holder's digest differed
    bool has_unreported_outcome_ = false; ///< an answer has released a segment
    bool decides_ = false;                ///< this instance is the holder, or knows of none
};

} // namespace auburnweir::coordination

#endif
