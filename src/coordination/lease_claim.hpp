#ifndef AUBURNWEIR_COORDINATION_LEASE_CLAIM_HPP
#define AUBURNWEIR_COORDINATION_LEASE_CLAIM_HPP

#include "coordination/order_lease.hpp"
#include "state/store_position.hpp"

#include <variant>

namespace auburnweir::coordination
{

/// The number under which a lease is acquired whose row was read at this position of the store.
///
/// Each later acquisition reads the store at a higher position, so numbers grow over all eras,
/// whatever the row says that the store came back with.
state::fencing_number fencing_number_at(state::store_position read_at);

/// The era in which a lease was acquired under this number.
state::store_era era_of(state::fencing_number number);

/// What an instance knows of a lease when it claims it.
struct lease_reading
{
    std::optional<state::lease_record> row; ///< null when it is absent
    state::store_position read_at;
    state::duration era_age{0}; ///< time since this instance first saw the current era
    /// The lease that this instance last held; null when it held none.
    std::optional<state::lease_record> last_held;
};

/// The row is the latest that was written: its content holds.
struct claim_of_row
{
    state::lease_record lease;
};

/// The row is an older copy, and this instance is the last holder: what it knows holds. It must not
/// have sent orders since it saw the era.
struct claim_of_last_holder
{
    state::lease_record lease;
};

/// The row is an older copy, and every lease that it may lack has ended.
struct claim_of_copy
{
    state::lease_record lease;
};

/// Another instance may still act.
struct no_claim
{
};

/// The lease is free, but this instance acted shortly before its last holder.
struct claim_barred
{
    state::wall_time until;
};

using lease_claim =
    std::variant<claim_of_row, claim_of_last_holder, claim_of_copy, no_claim, claim_barred>;

/// Decides whether an instance may write a lease's row, and whose knowledge continues.
///
/// @param now  on the clock of the lease times; never later than it is
lease_claim claim_lease(
    lease_reading const& reading, state::instance_id const& self, state::wall_time now,
    lease_settings const& settings);

} // namespace auburnweir::coordination

#endif
