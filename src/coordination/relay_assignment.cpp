#include "coordination/relay_assignment.hpp"

#include "coordination/rendezvous.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

/// Enough that the loss of a peer leaves others, and that no peer gets all requests.
constexpr std::size_t max_peers = 4;

/// Near peers leave room for some in other failure domains, as a domain may fail as a whole.
constexpr std::size_t max_near_peers = 2;

} // namespace

state::relay_peers assign_relays(
    state::instance_id const& instance, state::failure_domain_id const& domain,
    std::set<state::service_id> const& unreachable, std::vector<relay_candidate> const& candidates)
{
    auto ordered = candidates;
    std::ranges::sort(
        ordered, std::greater{},
        [&](relay_candidate const& c)
        { return rendezvous_weight(instance.str(), c.peer.id.str()); });
    state::relay_peers assigned;
    for (auto const& service : unreachable)
    {
        std::vector<state::relay_peer> near;
        std::vector<state::relay_peer> far;
        for (auto const& c : ordered)
            if (!c.unreachable.contains(service))
                (c.peer.failure_domain == domain ? near : far).push_back(c.peer);
        auto const near_count = std::min(
            near.size(), std::max(max_near_peers, max_peers - std::min(max_peers, far.size())));
        near.resize(near_count);
        far.resize(std::min(far.size(), max_peers - std::min(max_peers, near_count)));
        auto& peers = assigned[service];
        peers = std::move(near);
        std::ranges::move(far, std::back_inserter(peers));
    }
    return assigned;
}

} // namespace auburnweir::coordination
