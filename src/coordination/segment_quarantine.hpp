#ifndef AUBURNWEIR_COORDINATION_SEGMENT_QUARANTINE_HPP
#define AUBURNWEIR_COORDINATION_SEGMENT_QUARANTINE_HPP

#include "coordination/request_evidence.hpp"
#include "state/lock_rank.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace auburnweir::coordination
{

/// When a segment counts as the cause of crashes, and for how long.
struct quarantine_settings
{
    /// Separate crashes of different server processes since the segment's last answer.
    std::size_t min_crashes = 3;
    /// The same for a segment whose requests were answered before.
    std::size_t min_crashes_after_answers = 5;
    /// Crashes within this time count as one: a rack takes several servers with it, whatever their
    /// requests.
    state::duration crash_grouping_time = std::chrono::milliseconds{250};
    /// A segment is suspected for this long before the verdict, so that answers that other
    /// instances relayed arrive first.
    state::duration settle_time = std::chrono::milliseconds{1000};
    state::duration memory = std::chrono::minutes{5}; ///< for crashes and answers
    state::duration quarantine = std::chrono::minutes{10};
};

/// A request has a segment whose requests crash servers, or is a repeat of one that does.
struct quarantined_segment
{
    std::string id; ///< empty for a repeat of a request
    state::duration remaining{0};
};

/// A change of one segment's verdict.
struct verdict_change
{
    state::segment_hash segment;
    bool quarantined = true;
    std::size_t crashes = 0;   ///< that this instance knows since the last answer
    bool decided_here = false; ///< false: the verdict came from another instance
};

/// Finds the prompt segments whose requests crash backend servers, from the crashes and answers
/// that all instances saw.
///
/// Answers the pattern in which requests that share one segment end each server that begins to
/// answer them: each instance sees few of them and many bystanders. The fingerprint of a request
/// counts as a segment that its repeats share. A segment is the cause when several processes ended
/// under its requests, one after the other, and none was answered since. Of the segments that
/// explain the same crashes only those with the most are chosen, and the crashes that they explain
/// count for no other segment.
///
/// Each instance records what it sees; the holder of the duties merges the reports and decides, and
/// its responses carry the verdicts. An answer with a quarantined segment releases it. All tables
/// are bounded. Thread-safe; takes `lock_rank::segment_quarantine`. Never reads a clock.
class segment_quarantine
{
public:
    explicit segment_quarantine(quarantine_settings settings = {})
        : settings_(settings)
    {
    }

    /// Records that a server process broke off a request before it was answered.
    /// @return true when nothing checks yet whether the process has ended: the caller does, and
    ///         calls `confirm_crash` or `dismiss_losses`
    bool record_loss(
        state::server_process_hash server, state::segment_hashes const& segments,
        state::time_point now);

    /// Turns the recent losses at a server process into crash evidence.
    /// @return whether there were any
    bool confirm_crash(state::server_process_hash server, state::time_point now);

    /// Forgets the losses at a server process that is still there.
    void dismiss_losses(state::server_process_hash server);

    /// Records that a request was answered.
    std::vector<verdict_change> record_answer(
        state::forwarded_request const& request, state::time_point now);

    /// The quarantined segment of a request; null when it has none.
    std::optional<quarantined_segment> find(
        state::forwarded_request const& request, state::time_point now) const;

    /// Decides on the suspected segments; called by the holder, and without a holder.
    std::vector<verdict_change> decide(state::time_point now);

    /// Evidence for the next report. It is sent again until a response acknowledges it.
    /// @param all  also what an earlier holder has acknowledged
    state::segment_observations begin_report(
        std::uint64_t sequence, bool all, state::time_point now);

    /// Whether there is evidence that no report has carried yet.
    bool report_is_urgent() const;

    /// Holder: merges a report.
    std::vector<verdict_change> merge(
        state::segment_observations const& report, state::time_point now);

    /// Holder: what the response to a report with this digest says.
    state::segment_verdicts response_to(state::verdicts_digest digest, state::time_point now);

    /// Follower: applies the response to the report `sequence`.
    std::vector<verdict_change> apply(
        state::segment_verdicts const& response, std::uint64_t sequence, state::time_point now);

    /// Number of segments in quarantine.
    std::size_t quarantined_count(state::time_point now) const;

    /// Verdicts in force, for status output.
    std::vector<state::segment_verdict> verdicts(state::time_point now) const;

private:
    struct losses
    {
        state::segment_hashes segments;
        state::time_point at{};
    };

    struct evidence
    {
        std::map<state::server_process_hash, state::time_point> crashes; ///< since the last answer
        state::time_point suspected_at{};
        std::optional<state::time_point> answered_at;
        std::optional<state::time_point> reported_answer; ///< the last one that was reported
    };

    struct verdict
    {
        std::uint64_t revision = 0;
        bool quarantined = true;
        state::time_point at{};
    };

    /// An observation on its way to the holder.
    template <class Observation>
    struct outgoing
    {
        Observation seen;
        state::time_point at{};
        std::uint64_t first_sent_with = 0; ///< sequence of the first report with it; 0: none
        bool acknowledged = false;
    };

    /// Remembers the answer to a request that no evidence is about yet.
    void remember_answered_request(state::segment_hash fingerprint, state::time_point now);
    /// Adds the answer that was remembered for a request before there was evidence on it.
    void recall_answer(state::segment_hash fingerprint);
    void add_crash(
        state::segment_hash segment, state::server_process_hash server, state::time_point at,
        state::time_point now);
    /// @return the release of the segment, if the answer shows that it crashes no server
    std::optional<verdict_change> add_answer(
        state::segment_hash segment, state::time_point at, state::time_point now);
    evidence& evidence_of(state::segment_hash segment);
    void remove_least_useful_evidence();
    std::vector<verdict_change> merge_verdicts(
        std::vector<state::segment_verdict> const& newer, state::time_point now);
    std::vector<state::segment_verdict> all_verdicts(state::time_point now) const;
    void queue_answer(state::segment_hash segment, evidence& e);
    std::size_t needed_crashes(state::segment_hash segment, evidence const& e) const;
    std::size_t separate_crashes(evidence const& e) const;
    std::vector<state::segment_hash> most_suspicious(state::time_point now) const;
    verdict_change set_verdict(
        state::segment_hash segment, bool quarantined, state::time_point now);
    bool is_quarantined(state::segment_hash segment, state::time_point now) const;
    state::verdicts_digest digest() const;
    void remove_expired(state::time_point now);

    quarantine_settings settings_;
    mutable state::ranked_mutex mutex_{state::lock_rank::segment_quarantine};
    std::map<state::server_process_hash, losses> losses_;
    std::map<state::segment_hash, evidence> evidence_;
    std::map<state::segment_hash, verdict> verdicts_;
    std::map<state::segment_hash, state::time_point> answered_requests_;
    std::deque<state::segment_hash> answered_order_; ///< of `answered_requests_`, the oldest first
    std::vector<outgoing<state::segment_crash>> outgoing_crashes_;
    std::vector<outgoing<state::segment_answer>> outgoing_answers_;
    bool verdicts_requested_ = false; ///< the holder's digest differed
};

} // namespace auburnweir::coordination

#endif
