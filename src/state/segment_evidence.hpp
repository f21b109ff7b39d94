#ifndef AUBURNWEIR_STATE_SEGMENT_EVIDENCE_HPP
#define AUBURNWEIR_STATE_SEGMENT_EVIDENCE_HPP

#include "state/ids.hpp"
#include "state/time.hpp"

#include <vector>

namespace auburnweir::state
{

/// Hash of a prompt segment's id, or of a whole request. Ids are callers' text of any length;
/// tables and messages keep the hash.
using segment_hash = quantity<struct segment_hash_unit, std::uint64_t>;

using segment_hashes = std::vector<segment_hash>;

/// One process of a backend server, as a hash of its id and incarnation.
using server_process_hash = quantity<struct server_process_unit, std::uint64_t>;

/// A server process ended while it had requests with these segments and had not answered them.
struct server_crash
{
    server_process_hash server;
    segment_hashes segments;
    duration age{0}; ///< time since the crash when the message was made

    friend bool operator==(server_crash const&, server_crash const&) = default;
};

/// A server answered a request with this segment.
struct segment_answer
{
    segment_hash segment;
    duration age{0}; ///< time since the answer when the message was made

    friend bool operator==(segment_answer const&, segment_answer const&) = default;
};

/// Segments that explain the same crashes, so that one of them is to blame and it is not known
/// which.
using suspect_group = quantity<struct suspect_group_unit, std::uint64_t>;

/// What the crashes show of a group.
struct group_finding
{
    /// Several events have shown that one of the group is to blame; until then its requests are
    /// trials.
    bool confirmed = false;
    std::uint64_t crashes = 0;       ///< that the group explains
    std::uint64_t narrowings = 0;    ///< how often other segments have left it after a crash
    std::uint64_t failed_trials = 0; ///< trials that have crashed a server

    friend auto operator<=>(group_finding const&, group_finding const&) = default;
};

/// Whether a segment belongs to a group whose requests are refused because they crash servers. The
/// verdict with the higher revision is the newer one.
struct segment_verdict
{
    segment_hash segment;
    std::uint64_t revision = 0;
    bool quarantined = true;
    duration age{0}; ///< time since the verdict when the message was made
    suspect_group group;
    group_finding finding;

    friend bool operator==(segment_verdict const&, segment_verdict const&) = default;
};

/// An instance has a request that may be sent as a trial only.
struct wanted_trial
{
    suspect_group group;
    std::uint64_t held = 0; ///< segments of the group that the request holds

    friend auto operator<=>(wanted_trial const&, wanted_trial const&) = default;
};

/// Identifies the verdicts that an instance knows, in any order; 0: none.
using verdicts_digest = quantity<struct verdicts_digest_unit, std::uint64_t>;

/// What an instance's report says of segments.
struct segment_observations
{
    std::vector<server_crash> crashes;
    std::vector<segment_answer> answers;
    verdicts_digest digest{0};
    std::vector<segment_verdict> verdicts; ///< only when the holder's digest differed
    std::vector<wanted_trial> wanted_trials;

    friend bool operator==(segment_observations const&, segment_observations const&) = default;
};

/// What the response to a report says of segments.
struct segment_verdicts
{
    segment_hashes suspects; ///< segments whose answers the reports are to name
    verdicts_digest digest{0};
    std::vector<segment_verdict> verdicts;    ///< only when the report's digest differed
    std::vector<wanted_trial> granted_trials; ///< each may be sent now

    friend bool operator==(segment_verdicts const&, segment_verdicts const&) = default;
};

} // namespace auburnweir::state

#endif
