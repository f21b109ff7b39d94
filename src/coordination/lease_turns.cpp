#include "coordination/lease_turns.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

std::chrono::milliseconds return_time(lease_settings const& settings)
{
    return std::chrono::ceil<std::chrono::milliseconds>(
        settings.return_interval + settings.clock_bound);
}

/// Rows of earlier versions name neither the end of the holder's calls nor earlier holders.
state::lease_history known_history(state::lease_record const& row)
{
    return row.history.value_or(state::lease_history{row.until, {}, row.until});
}

} // namespace

std::optional<state::wall_time> barred_until(
    state::lease_record const& row, state::instance_id const& self, lease_settings const& settings)
{
    if (row.holder == self)
        return std::nullopt;
    auto const history = known_history(row);
    auto acted_until = history.others_acted_until;
    // An empty optional is less than any time.
    for (auto const& holder : history.earlier)
        if (holder.id == self)
            acted_until = std::max(acted_until, std::optional{holder.acted_until});
    if (!acted_until)
        return std::nullopt;
    return *acted_until + return_time(settings);
}

std::optional<state::wall_time> inherited_acted_until(
    state::lease_record const& previous, state::instance_id const& self)
{
    if (previous.holder != self)
        return std::nullopt;
    return known_history(previous).acted_until;
}

state::lease_history next_history(
    state::lease_record const& previous, state::instance_id const& self, state::wall_time now,
    state::wall_time until, lease_settings const& settings)
{
    auto history = known_history(previous);
    auto& earlier = history.earlier;
    bool const is_takeover = previous.holder != self;
    if (is_takeover && history.acted_until)
        earlier.push_back({previous.holder, *history.acted_until});
    std::erase_if(
        earlier, [&](state::earlier_holder const& holder)
        { return holder.id == self || now > holder.acted_until + return_time(settings); });
    if (earlier.size() > max_earlier_holders)
    {
        auto const dropped = earlier.begin();
        history.others_acted_until =
            std::max(history.others_acted_until, std::optional{dropped->acted_until});
        earlier.erase(dropped);
    }
    history.acted_until = until;
    return history;
}

state::lease_history history_after_gap(state::wall_time now, state::wall_time until)
{
    return {until, {}, now};
}

state::lease_record released_lease(
    state::lease_record lease, state::wall_time now, std::optional<state::wall_time> acted_until)
{
    lease.until = now;
    if (lease.history)
        lease.history->acted_until = acted_until;
    return lease;
}

} // namespace auburnweir::coordination
