#ifndef AUBURNWEIR_COORDINATION_VERDICT_TABLE_HPP
#define AUBURNWEIR_COORDINATION_VERDICT_TABLE_HPP

#include "state/segment_evidence.hpp"

#include <map>
#include <optional>
#include <set>

namespace auburnweir::coordination
{

/// A change of one segment's verdict.
struct verdict_change
{
    state::segment_hash segment;
    bool quarantined = true;
    std::size_t crashes = 0;   ///< that this instance knows since the last answer
    bool decided_here = false; ///< false: the verdict came from another instance
};

/// Segments that explain the same crashes: one of them is to blame.
struct quarantined_group
{
    state::suspect_group id;
    state::segment_hashes segments;
    state::group_finding finding;
    state::time_point decided_at{};
};

/// A quarantined group of which a request holds segments.
struct group_match
{
    state::suspect_group id;
    std::vector<state::segment_hash> held; ///< that the request holds
    std::size_t size = 0;                  ///< segments of the group
    state::group_finding finding;
    state::duration remaining{0};
};

/// Verdicts on segments, by groups whose segments explain the same crashes: one of a group is to
/// blame, and it is not known which.
///
/// Bounded. Not thread-safe; part of `segment_quarantine`.
class verdict_table
{
public:
    /// @param quarantine  time for which a verdict holds; its record is kept for twice as long
    explicit verdict_table(state::duration quarantine)
        : quarantine_(quarantine)
    {
    }

    bool empty() const { return verdicts_.empty(); }

    bool is_quarantined(state::segment_hash segment, state::time_point now) const;

    /// The last verdict on a segment, also after it has expired; null when there was none.
    state::segment_verdict const* find(state::segment_hash segment) const;

    /// When the last verdict on a segment was given.
    state::time_point decided_at(state::segment_hash segment) const;

    /// Groups of which the request holds segments.
    std::vector<group_match> matches(
        state::segment_hashes const& request, state::time_point now) const;

    /// Quarantined groups.
    std::map<state::suspect_group, quarantined_group> groups(state::time_point now) const;

    /// Quarantines a group, anew when it is known.
    /// @return false when the table has no room for it
    bool quarantine(
        state::suspect_group group, state::segment_hashes const& segments,
        state::group_finding const& finding, state::time_point now);

    void release(state::segment_hash segment, state::time_point now);

    /// Takes over the newer ones of another instance's verdicts.
    std::vector<verdict_change> merge(
        std::vector<state::segment_verdict> const& newer, state::time_point now);

    std::vector<state::segment_verdict> all(state::time_point now) const;

    state::verdicts_digest digest() const;

    void remove_expired(state::time_point now);

private:
    struct entry
    {
        state::segment_verdict verdict; ///< `age` is not used
        state::time_point at{};
    };

    void store(state::segment_verdict const& verdict, state::time_point at);
    void leave_group(state::segment_verdict const& verdict);

    state::duration quarantine_;
    std::map<state::segment_hash, entry> verdicts_;
    /// Segments whose last verdict is a quarantine, by group.
    std::map<state::suspect_group, std::set<state::segment_hash>> groups_;
};

/// Verdicts of whole groups, as many as have no more segments together: of a part of a group more
/// requests would be refused than of the group.
std::vector<state::segment_verdict> groups_that_fit(
    std::vector<state::segment_verdict> verdicts, std::size_t max_segments);

} // namespace auburnweir::coordination

#endif
