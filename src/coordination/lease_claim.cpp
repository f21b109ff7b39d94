#include "coordination/lease_claim.hpp"

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
    auto const length = std::chrono::duration_cast<std::chrono::milliseconds>(settings.length);
    return {self, fencing_number_at(reading.read_at), now + length};
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
        return claim_of_last_holder{acquired(reading, self, now, settings)};
    // A lease that the copy lacks was written before this era began.
    if (reading.era_age > settings.length + settings.clock_bound)
        return claim_of_copy{acquired(reading, self, now, settings)};
    return no_claim{};
}

} // namespace auburnweir::coordination
