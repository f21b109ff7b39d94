#include "coordination/lease_claim.hpp"
#include "coordination/lease_turns.hpp"

#include <gtest/gtest.h>

namespace auburnweir::coordination
{
namespace
{

using namespace std::chrono_literals;

/// Instances that take a lease in turn. Holders must not act in the order A, B, A within 3 s.
class lease_turns_test : public testing::Test
{
protected:
    static constexpr auto release_gap = 201ms; ///< longer than the clock bound

    static lease_settings bounds()
    {
        lease_settings s;
        s.length = 3800ms;
        s.clock_bound = 200ms;
        s.delivery_bound = 800ms;
        s.return_interval = 3s;
        return s;
    }

    /// Takes or renews the lease, and whether that was possible.
    bool take(state::instance_id const& instance)
    {
        auto const lease = lease_to_write(row, instance, now, settings);
        if (lease)
            row = lease;
        return lease.has_value();
    }

    /// The holder releases the lease after a call at `acted_at`.
    void release(std::optional<state::wall_time> acted_at)
    {
        row = released_lease(*row, now, acted_at);
        now += release_gap;
    }

    lease_settings settings = bounds();
    state::wall_time now{1000h};
    std::optional<state::lease_record> row;
    state::instance_id a{"a"};
    state::instance_id b{"b"};
    state::instance_id c{"c"};
};

TEST_F(lease_turns_test, released_lease_is_taken_at_once_by_an_instance_that_has_not_acted)
{
    ASSERT_TRUE(take(a));
    release(now);
    EXPECT_TRUE(take(b));
    release(now);
    EXPECT_TRUE(take(c));
}

// Guards against ONE: the holder before the last one takes a released lease at once.
TEST_F(lease_turns_test, released_lease_is_barred_to_the_holder_before_until_its_call_is_old)
{
    ASSERT_TRUE(take(a));
    auto const acted_at = now;
    release(acted_at);
    ASSERT_TRUE(take(b));
    release(now);
    EXPECT_FALSE(take(a));
    now = acted_at + 3000ms;
    EXPECT_FALSE(take(a));
    now = acted_at + 3200ms;
    EXPECT_FALSE(take(a));
    now += 1ms;
    EXPECT_TRUE(take(a));
}

TEST_F(lease_turns_test, released_lease_is_not_barred_to_an_instance_that_held_it_without_a_call)
{
    ASSERT_TRUE(take(a));
    release(std::nullopt);
    ASSERT_TRUE(take(b));
    release(now);
    EXPECT_TRUE(take(a));
}

TEST_F(lease_turns_test, released_lease_is_taken_again_at_once_by_its_last_holder)
{
    ASSERT_TRUE(take(a));
    release(now);
    EXPECT_TRUE(take(a));
}

// Guards against ONE: the holder may have been killed after a call at the end of its lease.
TEST_F(lease_turns_test, instance_whose_lease_expired_is_barred_after_the_lease_of_the_next_holder)
{
    ASSERT_TRUE(take(a));
    auto const end = row->until;
    now = end + release_gap;
    ASSERT_TRUE(take(b));
    release(now);
    EXPECT_EQ(barred_until(*row, a, settings), end + 3200ms);
    EXPECT_FALSE(take(a));
}

// Guards against ONE: a process that starts again releases the lease without a call of its own.
TEST_F(lease_turns_test, instance_that_continues_its_own_row_inherits_the_calls_under_it)
{
    ASSERT_TRUE(take(a));
    auto const end = row->until;
    EXPECT_EQ(inherited_acted_until(*row, a), end);
    EXPECT_EQ(inherited_acted_until(*row, b), std::nullopt);
    release(std::nullopt);
    EXPECT_EQ(inherited_acted_until(*row, a), std::nullopt);
}

TEST_F(lease_turns_test, renewal_drops_holders_that_may_return)
{
    ASSERT_TRUE(take(a));
    release(now);
    ASSERT_TRUE(take(b));
    EXPECT_EQ(row->history->earlier.size(), 1U);
    now += 3200ms;
    ASSERT_TRUE(take(b));
    EXPECT_TRUE(row->history->earlier.empty());
}

// Guards against a row that grows with each change of holder.
TEST_F(lease_turns_test, more_holders_than_a_row_names_bar_all_others)
{
    settings.clock_bound = 0ms;
    for (std::size_t i = 0; i <= max_earlier_holders + 1; ++i)
    {
        ASSERT_TRUE(take(state::instance_id{"i" + std::to_string(i)})) << i;
        row = released_lease(*row, now, now);
        now += 1ms;
    }
    EXPECT_EQ(row->history->earlier.size(), max_earlier_holders);
    EXPECT_FALSE(take(state::instance_id{"i0"}));
    EXPECT_FALSE(take(c));
    now += 3000ms;
    EXPECT_TRUE(take(c));
}

// Guards against ONE: a row of an earlier version does not tell who acted before its holder.
TEST_F(lease_turns_test, row_of_an_earlier_version_bars_all_but_its_holder)
{
    state::lease_record const old{a, state::fencing_number{1}, now};
    row = old;
    now += release_gap;
    EXPECT_FALSE(take(b));
    EXPECT_TRUE(take(a));
    row = old;
    now = old.until + 3201ms;
    EXPECT_TRUE(take(b));
}

// Guards against ONE: before the store came back from a copy, any instance may have acted.
TEST_F(lease_turns_test, lease_claimed_from_a_copy_is_barred_to_all_others_for_the_bound)
{
    ASSERT_TRUE(take(a));
    auto const far = settings.length + settings.clock_bound + 1ms;
    lease_reading reading{row, {state::store_era{2}, state::row_version{40}}, far, std::nullopt};
    now += 4s;
    auto const claim = claim_lease(reading, b, now, settings);
    ASSERT_TRUE(std::holds_alternative<claim_of_copy>(claim));
    row = std::get<claim_of_copy>(claim).lease;
    auto const claimed_at = now;
    release(now);
    EXPECT_FALSE(take(a));
    EXPECT_FALSE(take(c));
    now = claimed_at + 3201ms;
    EXPECT_TRUE(take(c));
}

TEST_F(lease_turns_test, last_holder_that_goes_on_after_a_restore_keeps_the_history)
{
    ASSERT_TRUE(take(a));
    auto const acted_at = now;
    release(acted_at);
    ASSERT_TRUE(take(b));
    lease_reading reading{std::nullopt, {state::store_era{2}, state::row_version{40}}, 801ms, row};
    now += 900ms;
    auto const claim = claim_lease(reading, b, now, settings);
    ASSERT_TRUE(std::holds_alternative<claim_of_last_holder>(claim));
    row = std::get<claim_of_last_holder>(claim).lease;
    release(now);
    EXPECT_EQ(barred_until(*row, a, settings), acted_at + 3200ms);
    EXPECT_EQ(barred_until(*row, c, settings), std::nullopt);
}

TEST_F(lease_turns_test, claim_of_a_barred_instance_tells_until_when_it_waits)
{
    ASSERT_TRUE(take(a));
    auto const acted_at = now;
    release(acted_at);
    ASSERT_TRUE(take(b));
    release(now);
    lease_reading reading{row, {state::store_era{0}, state::row_version{40}}, 0ms, std::nullopt};
    auto const claim = claim_lease(reading, a, now, settings);
    ASSERT_TRUE(std::holds_alternative<claim_barred>(claim));
    EXPECT_EQ(std::get<claim_barred>(claim).until, acted_at + 3200ms);
    EXPECT_TRUE(std::holds_alternative<claim_of_row>(claim_lease(reading, c, now, settings)));
}

} // namespace
} // namespace auburnweir::coordination
