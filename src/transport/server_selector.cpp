#include "transport/server_selector.hpp"

#include <algorithm>

namespace auburnweir::transport
{

state::server_pool server_selector::pool()
{
    auto result = context_.tables.servers.pool(service_, now(), placement_.current());
    context_.tables.rollouts.exclude_target(service_, result.open);
    return result;
}

bool server_selector::was_tried(state::backend_id const& id) const
{
    return choice_.tried_backends.contains(id);
}

server_selection server_selector::select(bool may_follow_refusal)
{
    auto& budget = context_.tables.retry_budget;
    for (;;)
    {
        choice_.can_retry_refusal = may_follow_refusal && budget.allows(service_, now());
        auto available = pool();
        bool const is_any_permitted = !available.open.empty() || !available.closed.empty();
        if (!is_any_permitted && available.barred > 0)
            return no_server_permitted{};
        auto placed = coordination::place_request(
            policy_, std::move(available.open), choice_, now(), worker_.random());
        std::erase_if(available.closed, [&](auto const& closed) { return was_tried(closed.id); });
        if (!placed && available.closed.empty())
            return no_server_left{};
        if (!placed)
            return servers_closed{
                std::ranges::min(available.closed, {}, &state::closed_server::until).until};
        std::optional<coordination::held_retry> retry;
        if (coordination::needs_held_retry(placed->server, choice_, now()))
        {
            retry = coordination::held_retry::acquire(budget, service_, now());
            // Another request has acquired the last retry meanwhile.
            if (!retry)
                continue;
        }
        // Another worker may have used the server's last request meanwhile, and a newer
        // configuration may no longer permit the server.
        if (!context_.tables.servers.try_send(
                placed->server.listed.id, now(), placement_.current()))
            continue;
        choice_.tried_backends.insert(placed->server.listed.id);
        if (placed->placement)
            count(*placed->placement);
        return server_selected{std::move(placed->server), std::move(retry)};
    }
}

void server_selector::count(coordination::placement_kind const& placement)
{
    using state::event_counter;
    auto& counters = context_.tables.counters;
    counters.increment(
        placement.scope == coordination::placement_scope::deployment
            ? event_counter::requests_placed_over_deployment
            : event_counter::requests_placed_in_subset);
    if (placement.left_lane)
        counters.increment(event_counter::requests_left_lane);
}

bool server_selector::has_alternative()
{
    auto const available = pool();
    return std::ranges::any_of(
        available.open, [&](auto const& v) { return !was_tried(v.listed.id); });
}

} // namespace auburnweir::transport
