#ifndef AUBURNWEIR_COORDINATION_CRASH_EVIDENCE_HPP
#define AUBURNWEIR_COORDINATION_CRASH_EVIDENCE_HPP

#include "coordination/crash_events.hpp"

namespace auburnweir::coordination
{

/// What is known of one segment.
struct segment_history
{
    crashed_servers crashes;              ///< since the last answer
    state::time_point last_recorded_at{}; ///< when the last of them was recorded
    std::optional<state::time_point> answered_at;
    std::optional<state::time_point> reported_answer; ///< the last one that was reported
};

/// Crashes and answers by segment.
///
/// Bounded: segments without crashes go first, then those with the oldest single one; a crash that
/// is forgotten is so for all segments. Not thread-safe; part of `segment_quarantine`.
class crash_evidence
{
public:
    explicit crash_evidence(crash_event_settings settings)
        : events_(settings)
        , memory_(settings.memory)
    {
    }

    std::map<state::segment_hash, segment_history> const& histories() const { return histories_; }

    crash_events const& events() const { return events_; }

    /// The history of a segment; null when nothing is known.
    segment_history const* find(state::segment_hash segment) const;

    /// Crashes of a segment that were recorded at this time or before.
    crashed_servers crashes_recorded_by(state::time_point time, state::segment_hash segment) const;

    /// Number of a segment's crashes since its last answer.
    std::size_t crash_count(state::segment_hash segment) const;

    /// Records that a server process ended under requests with these segments.
    void add_crash(
        state::server_process_hash server, state::segment_hashes const& segments,
        state::time_point at, state::time_point now);

    /// Records an answer: the crashes before it were caused by something else.
    /// @return whether there were crashes and none is left
    bool add_answer(state::segment_hash segment, state::time_point at);

    /// The answer of a segment that has not been reported yet; it counts as reported then.
    std::optional<state::time_point> take_unreported_answer(state::segment_hash segment);

    /// The crashes of the segments that have most of them, and the answers of these segments.
    /// @param max_crashes  of all segments together
    state::segment_observations summary(std::size_t max_crashes, state::time_point now) const;

    /// Changes with each crash of a segment that is recorded or cleared by an answer.
    std::uint64_t revision() const { return revision_; }

    void remove_expired(state::time_point now);

    /// Number of crashes, and of histories with crashes, that were removed, as there were too many.
    std::uint64_t dropped() const { return dropped_ + events_.dropped(); }

private:
    segment_history& history_of(state::segment_hash segment);
    void forget_crash(state::server_process_hash server);
    void remove_least_useful();

    crash_events events_;
    state::duration memory_;
    std::map<state::segment_hash, segment_history> histories_;
    std::map<state::server_process_hash, state::segment_hashes> segments_by_crash_;
    std::uint64_t revision_ = 0;
    std::uint64_t dropped_ = 0;
};

} // namespace auburnweir::coordination

#endif
