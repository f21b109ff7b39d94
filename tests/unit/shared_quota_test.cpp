#include "coordination/shared_quota.hpp"

#include <gtest/gtest.h>

namespace auburnweir::coordination
{
namespace
{

using namespace std::chrono_literals;

/// Instances that share the quota of one organisation, and the reports between them.
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

    bool granted(shared_quota& quota, double cost)
    {
        return std::holds_alternative<quota_granted>(quota.acquire(limit, cost, now));
    }

    /// Gives an instance, one of ten, a full bucket and shares that are valid for `valid_for`.
    void fill_bucket(shared_quota& quota, state::duration valid_for = 1h) const
    {
        quota.update_shares(1, now + valid_for, 0.1, now - 1h);
        quota.apply_limits({limit}, now - 1h);
    }

    static state::instance_incarnation writer(int index)
    {
        return {state::instance_id{"i" + std::to_string(index)}, state::incarnation_number{1}};
    }

    state::organisation_quota limit;
    state::time_point now{1h};
};

TEST_F(shared_quota_test, acquire_of_an_organisation_without_a_limit_is_granted)
{
    shared_quota quota;
    limit.rate_per_second = 0;
    EXPECT_TRUE(granted(quota, 1e9));
}

TEST_F(shared_quota_test, acquire_beyond_the_burst_is_refused_with_the_time_to_retry)
{
    shared_quota quota;
    fill_bucket(quota);
    EXPECT_TRUE(granted(quota, rate));
    auto const d = quota.acquire(limit, rate / 2, now);
    ASSERT_TRUE(std::holds_alternative<quota_exceeded>(d));
    EXPECT_EQ(std::get<quota_exceeded>(d).retry_after, 500ms);
    now += 500ms;
    EXPECT_TRUE(granted(quota, rate / 2));
}

TEST_F(shared_quota_test, acquire_after_a_refund_is_granted)
{
    shared_quota quota;
    fill_bucket(quota);
    EXPECT_TRUE(granted(quota, rate));
    quota.refund(limit.id, rate);
    EXPECT_TRUE(granted(quota, rate));
}

TEST_F(shared_quota_test, acquire_of_more_than_a_full_bucket_is_granted_and_leaves_a_debt)
{
    shared_quota quota;
    fill_bucket(quota);
    EXPECT_TRUE(granted(quota, 3 * rate));
    now += 2s;
    EXPECT_FALSE(granted(quota, 1));
    now += 1s;
    EXPECT_TRUE(granted(quota, 1));
}

TEST_F(shared_quota_test, acquire_before_any_instance_is_known_is_refused_above_a_minimal_share)
{
    shared_quota quota;
    EXPECT_FALSE(granted(quota, rate / 10));
}

TEST_F(shared_quota_test, bucket_of_a_started_instance_once_its_share_is_known_starts_with_it)
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
    fill_bucket(holder);
    EXPECT_TRUE(granted(holder, 1));
    holder.charge(writer(1), {{limit.id, {100, 0}}}, now);
    holder.charge(writer(1), {{limit.id, {500, 400}}}, now);
    EXPECT_FALSE(granted(holder, 600));
    EXPECT_TRUE(granted(holder, 599));
}

TEST_F(shared_quota_test, charge_of_a_new_incarnation_counts_only_unsettled_units)
{
    shared_quota holder;
    fill_bucket(holder);
    EXPECT_TRUE(granted(holder, 1));
    holder.charge(writer(1), {{limit.id, {900, 200}}}, now);
    EXPECT_FALSE(granted(holder, 800));
    EXPECT_TRUE(granted(holder, 799));
}

TEST_F(shared_quota_test, charge_after_a_full_bucket_overflowed_is_not_offset_by_the_overflow)
{
    shared_quota holder;
    fill_bucket(holder);
    EXPECT_TRUE(granted(holder, 1));
    holder.charge(writer(1), {{limit.id, {10, 0}}}, now);
    now += 10s;
    holder.charge(writer(1), {{limit.id, {10 + rate, rate}}}, now);
    EXPECT_FALSE(granted(holder, 100));
}

TEST_F(shared_quota_test, apply_levels_after_further_grants_replaces_the_level_less_these_grants)
{
    shared_quota quota;
    fill_bucket(quota);
    EXPECT_TRUE(granted(quota, 100));
    quota.begin_report(1, now);
    EXPECT_TRUE(granted(quota, 200));
    quota.apply_levels({{limit.id, 700.0}}, 1, now);
    EXPECT_FALSE(granted(quota, 501));
    EXPECT_TRUE(granted(quota, 500));
}

TEST_F(shared_quota_test, apply_levels_of_an_older_response_changes_nothing)
{
    shared_quota quota;
    fill_bucket(quota);
    EXPECT_TRUE(granted(quota, 100));
    quota.begin_report(1, now);
    quota.begin_report(2, now);
    quota.apply_levels({{limit.id, 100.0}}, 2, now);
    quota.apply_levels({{limit.id, 900.0}}, 1, now);
    EXPECT_FALSE(granted(quota, 101));
}

TEST_F(shared_quota_test, report_after_a_response_lists_units_granted_since_as_unsettled)
{
    shared_quota quota;
    fill_bucket(quota);
    EXPECT_TRUE(granted(quota, 100));
    quota.begin_report(1, now);
    quota.apply_levels({{limit.id, 900.0}}, 1, now);
    EXPECT_TRUE(granted(quota, 50));
    auto const uses = quota.begin_report(2, now);
    EXPECT_EQ(uses.at(limit.id), (state::quota_use{150, 50}));
}

TEST_F(shared_quota_test, acquire_of_an_isolated_instance_spends_its_local_share_of_the_last_level)
{
    shared_quota quota;
    fill_bucket(quota, 500ms);
    EXPECT_TRUE(granted(quota, 20));
    now += 1500ms;
    EXPECT_TRUE(quota.is_isolated(now));
    // Its tenth of the full bucket and of the reserve of half a second, less the units that it had
    // granted and no response had included: 130.
    EXPECT_TRUE(granted(quota, 120));
    EXPECT_FALSE(granted(quota, 70));
    now += 300ms;
    EXPECT_TRUE(granted(quota, 70));
}

TEST_F(shared_quota_test, acquire_from_a_scarce_bucket_leaves_the_other_instances_their_share)
{
    shared_quota quota;
    fill_bucket(quota);
    quota.begin_report(1, now);
    quota.apply_levels({{limit.id, 400.0}}, 1, now);
    EXPECT_TRUE(granted(quota, 100));
    EXPECT_FALSE(granted(quota, 100));
    quota.begin_report(2, now);
    quota.apply_levels({{limit.id, 300.0}}, 2, now);
    EXPECT_TRUE(granted(quota, 90));
}

TEST_F(shared_quota_test, level_after_isolation_assumes_that_the_others_spent_the_same_proportion)
{
    shared_quota quota;
    fill_bucket(quota, 100ms);
    EXPECT_TRUE(granted(quota, 1));
    now += 200ms;
    EXPECT_TRUE(granted(quota, 50));
    quota.update_shares(1, now + 1h, 0.1, now);
    EXPECT_FALSE(granted(quota, 600));
    EXPECT_TRUE(granted(quota, 400));
}

TEST_F(shared_quota_test, report_of_an_isolated_instance_omits_its_grants)
{
    shared_quota quota;
    fill_bucket(quota, 100ms);
    now += 1s;
    EXPECT_TRUE(granted(quota, 10));
    EXPECT_EQ(quota.begin_report(1, now).count(limit.id), 0U);
}

} // namespace
} // namespace auburnweir::coordination
