#ifndef AUBURNWEIR_COORDINATION_ANSWERED_REQUESTS_HPP
#define AUBURNWEIR_COORDINATION_ANSWERED_REQUESTS_HPP

#include "state/segment_evidence.hpp"

#include <deque>
#include <map>
#include <optional>

namespace auburnweir::coordination
{

/// Answers to the newest requests, by fingerprint. Most requests are answered once and never
/// repeated, so they need no history unless a crash names them.
///
/// Bounded. Not thread-safe; part of `segment_quarantine`.
class answered_requests
{
public:
    void add(state::segment_hash fingerprint, state::time_point at);

    std::optional<state::time_point> find(state::segment_hash fingerprint) const;

    /// Number of answers that are no longer remembered.
    std::uint64_t forgotten() const { return forgotten_; }

private:
    std::map<state::segment_hash, state::time_point> answered_at_;
    std::deque<state::segment_hash> order_; ///< the oldest first
    std::uint64_t forgotten_ = 0;
};

} // namespace auburnweir::coordination

#endif
