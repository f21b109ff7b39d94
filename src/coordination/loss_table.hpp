#ifndef AUBURNWEIR_COORDINATION_LOSS_TABLE_HPP
#define AUBURNWEIR_COORDINATION_LOSS_TABLE_HPP

#include "state/segment_evidence.hpp"

#include <map>
#include <optional>
#include <set>

namespace auburnweir::coordination
{

/// Segments of the requests that one server process broke off.
struct losses
{
    std::set<state::segment_hash> segments;
    state::time_point at{}; ///< of the first one
};

/// Requests that server processes broke off, until it is known whether the processes have ended.
///
/// Bounded: what does not fit is counted. Not thread-safe; part of `segment_quarantine`.
class loss_table
{
public:
    /// @return true for the first loss of an event at the server
    bool record(
        state::server_process_hash server, state::segment_hashes const& segments,
        state::time_point now);

    /// Removes the recent losses at a server; null when there are none.
    std::optional<losses> take(state::server_process_hash server, state::time_point now);

    void remove(state::server_process_hash server);

    bool contains(state::server_process_hash server) const { return losses_.contains(server); }

    /// Number of segments that were not recorded.
    std::uint64_t dropped() const { return dropped_; }

private:
    void remove_outdated(state::time_point now);

    std::map<state::server_process_hash, losses> losses_;
    std::size_t segments_ = 0; ///< of all servers
    std::uint64_t dropped_ = 0;
};

} // namespace auburnweir::coordination

#endif
