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
        return std::holds_alternative<quota_granted>(at.ask(limit, cost, now));
    }

    static state::usage_writer writer(int index)
    {
        return {state::instance_id{"i" + std::to_string(index)}, state::incarnation{1}};
    }

    /// Units granted in `length` when all instances ask all the time and hear nothing.
    double granted_under_pressure(std::vector<shared_quota>& all, state::duration length)
    {
        double sum = 0;
        for (auto const end = now + length; now < end; now += 10ms)
            for (auto& quota : all)
                if (granted(quota, 5))
                    sum += 5;
        return sum;
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
    quota.see(1, now + 1h, 1.0 / 9);
    EXPECT_TRUE(granted(quota, rate));
    auto const d = quota.ask(limit, rate / 2, now);
    ASSERT_TRUE(std::holds_alternative<quota_exceeded>(d));
    EXPECT_EQ(std::get<quota_exceeded>(d).retry_after, 500ms);
    now += 500ms;
    EXPECT_TRUE(granted(quota, rate / 2));
}

TEST_F(shared_quota_test, ask_after_units_were_given_back_is_granted)
{
    shared_quota quota;
    quota.see(1, now + 1h, 1.0 / 9);
    EXPECT_TRUE(granted(quota, rate));
    quota.give_back(limit.id, rate);
    EXPECT_TRUE(granted(quota, rate));
}

TEST_F(shared_quota_test, ask_larger_than_the_bucket_passes_when_it_is_full_and_leaves_a_debt)
{
    shared_quota quota;
    quota.see(1, now + 1h, 1.0 / 9);
    EXPECT_TRUE(granted(quota, 3 * rate));
    now += 2s;
    EXPECT_FALSE(granted(quota, 1));
    now += 1s;
    EXPECT_TRUE(granted(quota, 1));
}

TEST_F(shared_quota_test, instances_that_hear_each_other_keep_the_limit_over_time)
{
    // Requests of 6% of the burst from nine instances, 3.7 times the limit together; what an
    // instance tells reaches the others 130 ms later, by way of the holder.
    constexpr state::duration step = 10ms;
    constexpr state::duration way = 130ms;
    std::vector<shared_quota> all(9);
    std::map<state::time_point, std::vector<std::pair<int, state::consumed_units>>> under_way;
    double sum = 0;
    for (auto& q : all)
        q.see(1, now + 1h, 1.0 / 9);
    int steps = 0;
    for (auto const end = now + 8s; now < end; now += step, ++steps)
    {
        for (int i = 0; i < 9; ++i)
        {
            bool const asks = (steps + i) % 15 == 0;
            if (asks && granted(all[i], 60))
                sum += 60;
            bool const regular = (steps + 3 * i) % 30 == 0;
            bool const early = (steps + i) % 10 == 0 && all[i].runs_low();
            if (regular || early)
                under_way[now + way].emplace_back(i, all[i].report_consumed());
        }
        for (auto const& [from, consumed] : under_way[now])
            for (int to = 0; to < 9; ++to)
                if (to != from)
                    all[to].apply(writer(from), consumed, now);
    }
    // The slack of the users' deployments is 0.69 of a second's limit.
    EXPECT_LE(sum, (8 * rate + rate) * 1.1 + 0.69 * rate);
    EXPECT_GE(sum, 8 * rate * 0.9);
}

TEST_F(shared_quota_test, instances_cut_off_from_each_other_keep_the_limit_together)
{
    std::vector<shared_quota> all(9);
    for (auto& q : all)
        q.see(1, now - 1s, 1.0 / 9);
    auto const sum = granted_under_pressure(all, 8s);
    EXPECT_LE(sum, (8 * rate + rate) * 1.1);
}

TEST_F(shared_quota_test, bucket_fills_by_the_own_part_alone_when_nothing_is_heard_any_more)
{
    shared_quota quota;
    quota.see(1, now + 500ms, 0.1);
    EXPECT_TRUE(granted(quota, rate));
    now += 1500ms;
    EXPECT_FALSE(granted(quota, 601)); // 0.5 s of the whole and 1 s of a tenth
    EXPECT_TRUE(granted(quota, 599));
}

TEST_F(shared_quota_test, news_after_a_long_rest_is_not_paid_by_what_the_full_bucket_lost)
{
    shared_quota quota;
    quota.see(1, now + 1h, 1.0 / 9);
    EXPECT_TRUE(granted(quota, 1));
    quota.apply(writer(1), {{limit.id, 10.0}}, now);
    now += 10s;
    quota.apply(writer(1), {{limit.id, 10.0 + rate}}, now);
    EXPECT_FALSE(granted(quota, 100));
}

TEST_F(shared_quota_test, news_from_a_new_life_of_an_instance_counts_from_its_first_report)
{
    shared_quota quota;
    quota.see(1, now + 1h, 1.0 / 9);
    EXPECT_TRUE(granted(quota, 1));
    quota.apply(writer(1), {{limit.id, 900.0}}, now);
    EXPECT_TRUE(granted(quota, 900)); // what it granted before is not charged now
    now += 1s;
    quota.apply(writer(1), {{limit.id, 1800.0}}, now);
    EXPECT_FALSE(granted(quota, 500));
}

} // namespace
} // namespace auburnweir::coordination
