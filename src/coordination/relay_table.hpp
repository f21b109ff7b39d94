#ifndef AUBURNWEIR_COORDINATION_RELAY_TABLE_HPP
#define AUBURNWEIR_COORDINATION_RELAY_TABLE_HPP

#include "state/lock_rank.hpp"
#include "state/relay_peer.hpp"
#include "state/time.hpp"

#include <optional>
#include <random>
#include <set>

namespace auburnweir::coordination
{

/// Whether other instances reach a service, as far as the holder of the duties knows.
enum class reach_of_others : std::uint8_t
{
    unknown,
    none, ///< no instance reaches it: the servers are down
    some
};

/// The peers that relay requests for this instance, and how much each has to do for it.
///
/// Thread-safe; takes `lock_rank::relay_table`. Never reads a clock.
class relay_table
{
public:
    explicit relay_table(state::failure_domain_id own_domain)
        : own_domain_(std::move(own_domain))
    {
    }

    /// Replaces the peers, as the holder of the duties names them.
    void assign(state::relay_peers peers);

    /// Forgets the peers of a service that this instance reaches again.
    void forget(state::service_id const& service);

    /// Chooses the peer with the fewest requests of this instance, of the near ones first, and
    /// counts one for it until `record_end`.
    std::optional<state::relay_peer> choose(
        state::service_id const& service, state::time_point now, std::mt19937_64& random);

    void record_end(state::instance_id const& peer);

    /// Records that a peer did not take a request; the others are chosen for some time.
    void record_refusal(state::instance_id const& peer, state::time_point now);

    reach_of_others others_reach(state::service_id const& service) const;

    /// Addresses of all peers.
    std::set<state::endpoint> addresses() const;

    state::relay_peers peers() const;

private:
    struct use
    {
        std::int64_t in_flight = 0;
        state::time_point refused_at{};
    };

    state::failure_domain_id own_domain_;
    mutable state::ranked_mutex mutex_{state::lock_rank::relay_table};
    state::relay_peers peers_;
    std::map<state::instance_id, use> uses_; ///< of instances that are peers or have requests
};

} // namespace auburnweir::coordination

#endif
