#ifndef AUBURNWEIR_COORDINATION_OBSERVATION_QUEUE_HPP
#define AUBURNWEIR_COORDINATION_OBSERVATION_QUEUE_HPP

#include "state/segment_evidence.hpp"

#include <deque>
#include <utility>

namespace auburnweir::coordination
{

/// Number of segments that an observation names.
inline std::size_t segments_of(state::server_crash const& crash)
{
    return crash.segments.size();
}

inline std::size_t segments_of(state::segment_answer const& /*answer*/)
{
    return 1;
}

/// Observations on their way to the holder of the duties; each is sent again until a response
/// acknowledges it.
///
/// Bounded: the oldest go first. Not thread-safe; part of `segment_quarantine`.
template <class Observation>
class observation_queue
{
public:
    /// @param max_segments  of all observations; one that names more is kept alone
    explicit observation_queue(std::size_t max_segments)
        : max_segments_(max_segments)
    {
    }

    void add(Observation seen, state::time_point at)
    {
        segments_ += segments_of(seen);
        entries_.push_back({std::move(seen), at, 0, false});
        while (segments_ > max_segments_ && entries_.size() > 1)
        {
            dropped_ += entries_.front().acknowledged ? 0 : 1;
            remove_oldest();
        }
    }

    /// Observations for the report `sequence`.
    /// @param all  also what an earlier holder has acknowledged
    /// @param max_segments  of all observations, but for a single one that names more
    std::vector<Observation> collect(
        std::uint64_t sequence, bool all, std::size_t max_segments, state::time_point now)
    {
        std::vector<Observation> result;
        std::size_t collected = 0;
        for (auto& e : entries_)
        {
            if (all)
            {
                e.acknowledged = false;
                e.first_sent_with = 0;
            }
            bool const is_full = !result.empty() && collected + segments_of(e.seen) > max_segments;
            if (e.acknowledged || is_full)
                continue;
            if (e.first_sent_with == 0)
                e.first_sent_with = sequence;
            collected += segments_of(e.seen);
            result.push_back(e.seen);
            result.back().age = now - e.at;
        }
        return result;
    }

    /// Records that the holder has the report `sequence`.
    void acknowledge(std::uint64_t sequence)
    {
        for (auto& e : entries_)
            if (e.first_sent_with != 0 && e.first_sent_with <= sequence)
                e.acknowledged = true;
    }

    /// Whether there are observations that no report has carried yet.
    bool has_unsent() const
    {
        for (auto const& e : entries_)
            if (e.first_sent_with == 0)
                return true;
        return false;
    }

    void remove_older_than(state::time_point oldest)
    {
        while (!entries_.empty() && entries_.front().at < oldest)
            remove_oldest();
    }

    /// Number of observations that were removed before they were acknowledged, as they were too
    /// many.
    std::uint64_t dropped() const { return dropped_; }

private:
    struct entry
    {
        Observation seen;
        state::time_point at{};
        std::uint64_t first_sent_with = 0; ///< sequence of the first report with it; 0: none
        bool acknowledged = false;
    };

    void remove_oldest()
    {
        segments_ -= segments_of(entries_.front().seen);
        entries_.pop_front();
    }

    std::size_t max_segments_;
    std::size_t segments_ = 0; ///< of all entries
    std::deque<entry> entries_;
    std::uint64_t dropped_ = 0;
};

} // namespace auburnweir::coordination

#endif
