#include "coordination/shared_quota.hpp"

#include <gtest/gtest.h>

namespace auburnweir::coordination
{
namespace
{

using namespace std::chrono_literals;

/// Several instances with one organisation's limit, and the news between them.
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

    /// Each instance hears all others.
    static void exchange(std::vector<shared_quota>& all)
    {
        for (std::size_t from = 0; from < all.size(); ++from)
            for (std::size_t to = 0; to < all.size(); ++to)
                if (from != to)
                    all[to].apply(writer(static_cast<int>(from)), all[from].consumed());
    }

    /// Units granted in `length` when all instances ask all the time and hear of each other.
    double granted_under_pressure(
        std::vector<shared_quota>& all, state::duration length, bool heard)
    {
        constexpr state::duration step = 10ms;
        constexpr int news_every = 30;
        double sum = 0;
        int steps = 0;
        for (auto const end = now + length; now < end; now += step)
        {
            for (auto& quota : all)
                if (granted(quota, 5))
                    sum += 5;
            if (heard && ++steps % news_every == 0)
                exchange(all);
        }
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
    quota.see(1);
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
    quota.see(1);
    EXPECT_TRUE(granted(quota, rate));
    quota.give_back(limit.id, rate);
    EXPECT_TRUE(granted(quota, rate));
}

TEST_F(shared_quota_test, ask_larger_than_the_bucket_passes_when_it_is_full_and_leaves_a_debt)
{
    shared_quota quota;
    quota.see(1);
    EXPECT_TRUE(granted(quota, 3 * rate));
    now += 2s;
    EXPECT_FALSE(granted(quota, 1));
    now += 1s;
    EXPECT_TRUE(granted(quota, 1));
}

TEST_F(shared_quota_test, instances_that_hear_each_other_keep_the_limit_over_time)
{
    std::vector<shared_quota> all(9);
    for (auto& q : all)
        q.see(1);
    auto const sum = granted_under_pressure(all, 8s, true);
    // The limit over the window, its burst, and what nine grant before the first news.
    EXPECT_LE(sum, (8 * rate + rate) * 1.1 + rate);
    EXPECT_GE(sum, 8 * rate * 0.8);
}

TEST_F(shared_quota_test, instances_cut_off_from_each_other_keep_the_limit_together)
{
    std::vector<shared_quota> all(9);
    for (auto& q : all)
        q.see(1.0 / 9);
    auto const sum = granted_under_pressure(all, 8s, false);
    EXPECT_LE(sum, (8 * rate + rate) * 1.1);
}

TEST_F(shared_quota_test, news_from_a_new_life_of_an_instance_counts_from_its_first_report)
{
    shared_quota quota;
    quota.see(1);
    EXPECT_TRUE(granted(quota, 1));
    quota.apply(writer(1), {{limit.id, 900.0}});
    EXPECT_TRUE(granted(quota, 900)); // what it granted before is not charged now
    now += 1s;
    quota.apply(writer(1), {{limit.id, 1800.0}});
    EXPECT_FALSE(granted(quota, 500));
}

} // namespace
} // namespace auburnweir::coordination
