#include "coordination/shared_quota.hpp"

#include <gtest/gtest.h>

namespace auburnweir::coordination
{
namespace
{

using namespace std::chrono_literals;

/// Several instances with one organisation's limit, and the reports between them.
class shared_quota_test : public testing::Test
{
protected:
    static constexpr double rate = 1000;

    shared_quota_test()
    {
        limit.id = state::organisation_id{"acme"};
        limit.rate_per_second = rate;
        limit.burst = rate;
    }

    bool granted(shared_quota& at, double cost)
    {
        return std::holds_alternative<quota_granted>(at.acquire(limit, cost, now));
    }

    /// Gives an instance, one of ten, a full bucket; it hears the holder for `length`.
    void begin(shared_quota& quota, state::duration length = 1h) const
    {
        quota.update_shares(1, now + length, 0.1, now - 1h);
        quota.apply_limits({limit}, now - 1h);
    }

    static state::usage_writer writer(int index)
    {
        return {state::instance_id{"i" + std::to_string(index)}, state::incarnation{1}};
    }

    state::organisation_quota limit;
    state::time_point now{1h};
};

TEST_F(shared_quota_test, ask_of_an_organisation_without_a_limit_is_granted)
{
    shared_quota quota;
    limit.rate_per_second = 0;
    EXPECT_TRUE(granted(quota, 1e9));
}

TEST_F(shared_quota_test, ask_beyond_the_burst_is_refused_with_the_time_to_come_back)
{
    shared_quota quota;
    begin(quota);
    EXPECT_TRUE(granted(quota, rate));
    auto const d = quota.acquire(limit, rate / 2, now);
    ASSERT_TRUE(std::holds_alternative<quota_exceeded>(d));
    EXPECT_EQ(std::get<quota_exceeded>(d).retry_after, 500ms);
    now += 500ms;
    EXPECT_TRUE(granted(quota, rate / 2));
}

TEST_F(shared_quota_test, ask_after_units_were_given_back_is_granted)
{
    shared_quota quota;
    begin(quota);
    EXPECT_TRUE(granted(quota, rate));
    quota.refund(limit.id, rate);
    EXPECT_TRUE(granted(quota, rate));
}

TEST_F(shared_quota_test, ask_larger_than_the_bucket_passes_when_it_is_full_and_leaves_a_debt)
{
    shared_quota quota;
    begin(quota);
    EXPECT_TRUE(granted(quota, 3 * rate));
    now += 2s;
    EXPECT_FALSE(granted(quota, 1));
    now += 1s;
    EXPECT_TRUE(granted(quota, 1));
}

TEST_F(shared_quota_test, ask_before_any_instance_is_known_gets_next_to_nothing)
{
    shared_quota quota;
    EXPECT_FALSE(granted(quota, rate / 10));
}

TEST_F(shared_quota_test, bucket_of_a_started_instance_begins_with_its_part_once_the_size_is_known)
{
    shared_quota quota;
    EXPECT_FALSE(granted(quota, 50));
    quota.update_shares(0.1, now, 0.1, now);
    EXPECT_TRUE(granted(quota, 150));
    EXPECT_FALSE(granted(quota, 50));
}

TEST_F(shared_quota_test, charge_of_another_instance_lowers_the_level_by_the_increase)
{
    shared_quota holder;
    begin(holder);
    EXPECT_TRUE(granted(holder, 1));
    holder.charge(writer(1), {{limit.id, {100, 0}}}, now);
    holder.charge(writer(1), {{limit.id, {500, 400}}}, now);
    EXPECT_FALSE(granted(holder, 600));
    EXPECT_TRUE(granted(holder, 599));
}

TEST_F(shared_quota_test, charge_of_a_newly_heard_life_counts_only_what_no_view_included)
{
    shared_quota holder;
    begin(holder);
    EXPECT_TRUE(granted(holder, 1));
    holder.charge(writer(1), {{limit.id, {900, 200}}}, now);
    EXPECT_FALSE(granted(holder, 800));
    EXPECT_TRUE(granted(holder, 799));
}

TEST_F(shared_quota_test, charge_after_a_long_rest_is_not_paid_by_what_the_full_bucket_lost)
{
    shared_quota holder;
    begin(holder);
    EXPECT_TRUE(granted(holder, 1));
    holder.charge(writer(1), {{limit.id, {10, 0}}}, now);
    now += 10s;
    holder.charge(writer(1), {{limit.id, {10 + rate, rate}}}, now);
    EXPECT_FALSE(granted(holder, 100));
}

TEST_F(shared_quota_test, settle_replaces_the_level_and_keeps_grants_since_the_report)
{
    shared_quota quota;
    begin(quota);
    EXPECT_TRUE(granted(quota, 100));
    quota.report(1, now);
    EXPECT_TRUE(granted(quota, 200));
    quota.apply_levels({{limit.id, 700.0}}, 1, now);
    EXPECT_FALSE(granted(quota, 501));
    EXPECT_TRUE(granted(quota, 500));
}

TEST_F(shared_quota_test, settle_by_an_overtaken_view_changes_nothing)
{
    shared_quota quota;
    begin(quota);
    EXPECT_TRUE(granted(quota, 100));
    quota.report(1, now);
    quota.report(2, now);
    quota.apply_levels({{limit.id, 100.0}}, 2, now);
    quota.apply_levels({{limit.id, 900.0}}, 1, now);
    EXPECT_FALSE(granted(quota, 101));
}

TEST_F(shared_quota_test, report_names_what_no_view_has_included)
{
    shared_quota quota;
    begin(quota);
    EXPECT_TRUE(granted(quota, 100));
    quota.report(1, now);
    quota.apply_levels({{limit.id, 900.0}}, 1, now);
    EXPECT_TRUE(granted(quota, 50));
    auto const uses = quota.report(2, now);
    EXPECT_EQ(uses.at(limit.id), (state::quota_use{150, 50}));
}

TEST_F(shared_quota_test, instance_that_no_holder_answers_spends_its_part_of_what_was_left)
{
    shared_quota quota;
    begin(quota, 500ms);
    EXPECT_TRUE(granted(quota, 20));
    now += 1500ms;
    EXPECT_TRUE(quota.isolated(now));
    // Its tenth of the full bucket and of the reserve of half a second, less what it had granted
    // and no view had included: 130.
    EXPECT_TRUE(granted(quota, 120));
    EXPECT_FALSE(granted(quota, 70));
    now += 300ms;
    EXPECT_TRUE(granted(quota, 70));
}

TEST_F(shared_quota_test, ask_of_a_scarce_bucket_leaves_the_others_their_part)
{
    shared_quota quota;
    begin(quota);
    quota.report(1, now);
    quota.apply_levels({{limit.id, 400.0}}, 1, now);
    EXPECT_TRUE(granted(quota, 100));
    EXPECT_FALSE(granted(quota, 100));
    quota.report(2, now);
    quota.apply_levels({{limit.id, 300.0}}, 2, now);
    EXPECT_TRUE(granted(quota, 90));
}

TEST_F(shared_quota_test, instance_that_hears_again_takes_the_others_to_have_spent_alike)
{
    shared_quota quota;
    begin(quota, 100ms);
    EXPECT_TRUE(granted(quota, 1));
    now += 200ms;
    EXPECT_TRUE(granted(quota, 50));
    quota.update_shares(1, now + 1h, 0.1, now);
    EXPECT_FALSE(granted(quota, 600));
    EXPECT_TRUE(granted(quota, 400));
}

TEST_F(shared_quota_test, grants_of_an_instance_that_is_alone_are_not_charged)
{
    shared_quota quota;
    begin(quota, 100ms);
    now += 1s;
    EXPECT_TRUE(granted(quota, 10));
    EXPECT_EQ(quota.report(1, now).count(limit.id), 0U);
}

} // namespace
} // namespace auburnweir::coordination
