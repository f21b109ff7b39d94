#include "coordination/order_lease.hpp"

#include "coordination/lease_turns.hpp"

namespace auburnweir::coordination
{

namespace
{

std::chrono::milliseconds to_milliseconds(state::duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d);
}

} // namespace

std::optional<state::lease_record> lease_to_write(
    std::optional<state::lease_record> const& current, state::instance_id const& self,
    state::wall_time now, lease_settings const& settings)
{
    auto const until = now + to_milliseconds(settings.length);
    if (!current)
        return state::lease_record{
            self, state::fencing_number{1}, until, state::lease_history{until, {}, std::nullopt}};
    auto history = next_history(*current, self, now, until, settings);
    bool const is_holder = current->holder == self && now < current->until;
    if (is_holder)
        return state::lease_record{self, current->fencing, until, std::move(history)};
    auto const barred = barred_until(*current, self, settings);
    if (may_be_held(*current, now, settings) || (barred && now <= *barred))
        return std::nullopt;
    auto const fencing = current->fencing + state::fencing_number{1};
    return state::lease_record{self, fencing, until, std::move(history)};
}

bool may_be_held(
    state::lease_record const& lease, state::wall_time now, lease_settings const& settings)
{
    return now <= lease.until + to_milliseconds(settings.clock_bound);
}

bool may_send_order(
    state::lease_record const& lease, state::instance_id const& self, state::fencing_mode mode,
    state::wall_time now, lease_settings const& settings)
{
    if (lease.holder != self)
        return false;
    if (mode == state::fencing_mode::checked)
        return now < lease.until;
    // The order takes effect when it arrives, up to delivery_bound later. A later holder acts only
    // after the lease's end plus clock_bound by its own clock, which may run ahead by clock_bound.
    return now + to_milliseconds(settings.delivery_bound) < lease.until;
}

} // namespace auburnweir::coordination
