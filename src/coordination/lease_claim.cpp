#include "coordination/lease_claim.hpp"

#include "coordination/lease_turns.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

/// Bits of a fencing number that hold the store's version; those above hold its era.
constexpr unsigned version_bits = 40;

/// The highest era in which an absent row shows that there was no lease: that of a store that has
/// never come back from a copy.
constexpr state::store_era first_era{1};

state::lease_record acquired(
    lease_reading const& reading, state::instance_id const& self, state::wall_time now,
    lease_settings const& settings)
{
    auto const until = now + std::chrono::duration_cast<std::chrono::milliseconds>(settings.length);
    return {self, fencing_number_at(reading.read_at), until, history_after_gap(now, until)};
}

} // namespace

state::fencing_number fencing_number_at(state::store_position read_at)
{
    auto const era = read_at.era.count() << version_bits;
    return state::fencing_number{era + read_at.version.count()};
}

state::store_era era_of(state::fencing_number number)
{
    return state::store_era{number.count() >> version_bits};
}

lease_claim claim_lease(
    lease_reading const& reading, state::instance_id const& self, state::wall_time now,
    lease_settings const& settings)
{
    auto const& row = reading.row;
    auto const era = reading.read_at.era;
    bool const is_copy = row ? era_of(row->fencing) < era : era > first_era;
    if (!is_copy)
    {
        auto lease = lease_to_write(row, self, now, settings);
        if (!lease && !may_be_held(*row, now, settings))
            return claim_barred{barred_until(*row, self, settings).value_or(now)};
        if (!lease)
            return no_claim{};
        bool const is_renewal = row && lease->fencing == row->fencing;
        if (!is_renewal)
            lease->fencing = std::max(lease->fencing, fencing_number_at(reading.read_at));
        return claim_of_row{std::move(*lease)};
    }
    // Leases exclude each other in time, so nobody else has acquired one since.
    auto const& last_held = reading.last_held;
    bool const is_in_force = last_held && now < last_held->until;
    // Orders under the number of the earlier era have arrived by then.
    if (is_in_force && reading.era_age > settings.delivery_bound)
    {
        auto lease = acquired(reading, self, now, settings);
        lease.history = next_history(*last_held, self, now, lease.until, settings);
        return claim_of_last_holder{std::move(lease)};
    }
    // A lease that the copy lacks was written before this era began.
    auto const longest_effect = std::max(settings.length, settings.return_interval);
    if (reading.era_age > longest_effect + settings.clock_bound)
        return claim_of_copy{acquired(reading, self, now, settings)};
    return no_claim{};
}

} // namespace auburnweir::coordination
