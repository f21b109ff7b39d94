#include "coordination/lease_claim.hpp"

#include <gtest/gtest.h>

namespace auburnweir::coordination
{
namespace
{

using namespace std::chrono_literals;

/// An instance that reads a lease's row in era 2.
class lease_claim_test : public testing::Test
{
protected:
    static constexpr std::uint64_t era = 2;

    state::lease_record lease(
        state::instance_id const& holder, std::uint64_t lease_era, state::duration left) const
    {
        auto const until = now + std::chrono::duration_cast<std::chrono::milliseconds>(left);
        return {
            holder, fencing_number_at({state::store_era{lease_era}, state::row_version{30}}),
            until};
    }

    lease_claim claim(std::optional<state::lease_record> row)
    {
        reading.row = std::move(row);
        return claim_lease(reading, me, now, settings);
    }

    state::wall_time now{1000h};
    lease_settings settings;
    state::instance_id me{"me"};
    state::instance_id other{"other"};
    lease_reading reading = [this]
    {
        lease_reading r;
        r.read_at = {state::store_era{era}, state::row_version{40}};
        return r;
    }();
    state::duration const long_enough = settings.length + settings.clock_bound + 1ms;
};

TEST_F(lease_claim_test, claim_of_expired_row_of_this_era_continues_it_under_a_higher_number)
{
    auto const row = lease(other, era, -5s);
    auto const result = claim(row);
    ASSERT_TRUE(std::holds_alternative<claim_of_row>(result));
    EXPECT_GT(std::get<claim_of_row>(result).lease.fencing, row.fencing);
}

TEST_F(lease_claim_test, claim_of_own_row_of_this_era_keeps_its_number)
{
    auto const row = lease(me, era, 5s);
    auto const result = claim(row);
    ASSERT_TRUE(std::holds_alternative<claim_of_row>(result));
    EXPECT_EQ(std::get<claim_of_row>(result).lease.fencing, row.fencing);
}

// Guards against ONE: the lease that a copy lacks may still be in force.
TEST_F(lease_claim_test, claim_of_expired_copy_waits_for_the_length_of_a_lease)
{
    reading.era_age = settings.length;
    EXPECT_TRUE(std::holds_alternative<no_claim>(claim(lease(other, era - 1, -60s))));
    reading.era_age = long_enough;
    EXPECT_TRUE(std::holds_alternative<claim_of_copy>(claim(lease(other, era - 1, -60s))));
}

TEST_F(lease_claim_test, claim_of_copy_that_names_this_instance_waits_as_well)
{
    EXPECT_TRUE(std::holds_alternative<no_claim>(claim(lease(me, era - 1, 5s))));
}

TEST_F(
    lease_claim_test,
    claim_of_copy_by_last_holder_whose_lease_is_in_force_waits_for_its_orders_only)
{
    reading.last_held = lease(me, era - 1, 5s);
    EXPECT_TRUE(std::holds_alternative<no_claim>(claim(lease(other, era - 1, -60s))));
    reading.era_age = settings.delivery_bound + 1ms;
    reading.last_held = lease(me, era - 1, 2s);
    auto const result = claim(lease(other, era - 1, -60s));
    ASSERT_TRUE(std::holds_alternative<claim_of_last_holder>(result));
    EXPECT_GT(std::get<claim_of_last_holder>(result).lease.fencing, reading.last_held->fencing);
}

TEST_F(lease_claim_test, claim_of_copy_by_earlier_holder_whose_lease_has_ended_waits)
{
    reading.last_held = lease(me, era - 1, -1s);
    EXPECT_TRUE(std::holds_alternative<no_claim>(claim(lease(me, era - 1, -1s))));
}

TEST_F(lease_claim_test, claim_of_absent_row_waits_only_after_the_store_was_restored)
{
    EXPECT_TRUE(std::holds_alternative<no_claim>(claim(std::nullopt)));
    reading.read_at.era = state::store_era{1};
    EXPECT_TRUE(std::holds_alternative<claim_of_row>(claim(std::nullopt)));
}

} // namespace
} // namespace auburnweir::coordination
