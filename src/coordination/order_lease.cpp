#include "coordination/order_lease.hpp"

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
        return state::lease_record{self, state::fencing_number{1}, until};
    bool const is_holder = current->holder == self && now < current->until;
    if (is_holder)
        return state::lease_record{self, current->fencing, until};
    bool const has_expired = now > current->until + to_milliseconds(settings.clock_bound);
    if (!has_expired)
        return std::nullopt;
    return state::lease_record{self, current->fencing + state::fencing_number{1}, until};
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
