#include "coordination/relay_table.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

/// Requests by which a near peer may exceed a far one.
constexpr double far_penalty = 3;

/// A peer that refused a request is left out for this time.
constexpr state::duration refusal_backoff = std::chrono::milliseconds{500};

bool names(state::relay_peers const& peers, state::instance_id const& id)
{
    return std::ranges::any_of(
        peers,
        [&](auto const& of_service)
        {
            return std::ranges::find(of_service.second, id, &state::relay_peer::id) !=
                   of_service.second.end();
        });
}

} // namespace

void relay_table::assign(state::relay_peers peers)
{
    state::ranked_lock lock(mutex_);
    peers_ = std::move(peers);
    std::erase_if(
        uses_, [&](auto const& entry)
        { return entry.second.in_flight == 0 && !names(peers_, entry.first); });
}

void relay_table::forget(state::service_id const& service)
{
    state::ranked_lock lock(mutex_);
    peers_.erase(service);
}

std::optional<state::relay_peer> relay_table::choose(
    state::service_id const& service, state::time_point now, std::mt19937_64& random)
{
    state::ranked_lock lock(mutex_);
    auto const known = peers_.find(service);
    if (known == peers_.end())
        return std::nullopt;
    std::uniform_real_distribution<double> tie_break(0, 0.5);
    state::relay_peer const* best = nullptr;
    double best_cost = 0;
    for (auto const& peer : known->second)
    {
        auto const& u = uses_[peer.id];
        if (now - u.refused_at < refusal_backoff)
            continue;
        bool const is_far = peer.failure_domain != own_domain_;
        auto const cost =
            static_cast<double>(u.in_flight) + (is_far ? far_penalty : 0) + tie_break(random);
        if (best && cost >= best_cost)
            continue;
        best = &peer;
        best_cost = cost;
    }
    if (!best)
        return std::nullopt;
    ++uses_[best->id].in_flight;
    return *best;
}

void relay_table::record_end(state::instance_id const& peer)
{
    state::ranked_lock lock(mutex_);
    auto const found = uses_.find(peer);
    if (found != uses_.end() && found->second.in_flight > 0)
        --found->second.in_flight;
}

void relay_table::record_refusal(state::instance_id const& peer, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    auto const found = uses_.find(peer);
    if (found != uses_.end())
        found->second.refused_at = now;
}

reach_of_others relay_table::others_reach(state::service_id const& service) const
{
    state::ranked_lock lock(mutex_);
    auto const known = peers_.find(service);
    if (known == peers_.end())
        return reach_of_others::unknown;
    return known->second.empty() ? reach_of_others::none : reach_of_others::some;
}

std::set<state::endpoint> relay_table::addresses() const
{
    state::ranked_lock lock(mutex_);
    std::set<state::endpoint> result;
    for (auto const& [service, peers] : peers_)
        for (auto const& peer : peers)
            result.insert(peer.address);
    return result;
}

state::relay_peers relay_table::peers() const
{
    state::ranked_lock lock(mutex_);
    return peers_;
}

} // namespace auburnweir::coordination
