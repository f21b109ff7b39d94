#include "coordination/order_lease.hpp"
#include "coordination/rollout_controller.hpp"
#include "coordination/sequential_test.hpp"
#include "rollout_trace.hpp"

#include <cmath>
#include <gtest/gtest.h>
#include <random>

namespace auburnweir::coordination
{
namespace
{

using namespace std::chrono_literals;
using state::wall_time;

class rollout_controller_test : public testing::Test
{
protected:
    rollout_controller_test()
    {
        version_plan.service = state::service_id{"s"};
        version_plan.from = state::version_id{"old"};
        version_plan.to = state::version_id{"new"};
        version_plan.begin = begin;
        version_plan.deadline = begin + 600s;
    }

    void add(
        char const* version, std::uint64_t succeeded, std::uint64_t failed, double seconds = .2)
    {
        auto& c =
            evidence[{version_plan.service, state::version_id{version}, state::route_id{"r"}}];
        c.succeeded += succeeded;
        c.failed += failed;
        c.latency[state::latency_class(seconds)] += succeeded;
    }

    rollout_verdict evaluate(std::size_t step, wall_time now)
    {
        return controller.evaluate(version_plan, {step, begin, false}, evidence, now);
    }

    wall_time begin{1000h};
    state::rollout version_plan;
    state::version_evidence evidence;
    rollout_controller controller{rollout_settings{}};
};

TEST_F(rollout_controller_test, few_failures_of_the_new_version_roll_it_back)
{
    add("old", 1000, 5);
    add("new", 0, 4);
    auto const verdict = evaluate(0, begin + 1s);
    ASSERT_TRUE(std::holds_alternative<roll_back>(verdict));
    EXPECT_EQ(std::get<roll_back>(verdict).evidence, "route r: failed 4 of 4, before 5 of 1005");
}

TEST_F(rollout_controller_test, failures_that_the_old_version_has_too_keep_the_step)
{
    add("old", 500, 500);
    add("new", 20, 20);
    EXPECT_TRUE(std::holds_alternative<keep_step>(evaluate(0, begin + 1s)));
}

TEST_F(rollout_controller_test, slow_responses_of_the_new_version_roll_it_back)
{
    add("old", 1000, 0, 0.2);
    add("new", 30, 0, 1.0);
    EXPECT_TRUE(std::holds_alternative<roll_back>(evaluate(0, begin + 1s)));
}

TEST_F(rollout_controller_test, enough_good_evidence_after_the_step_time_advances)
{
    add("old", 1000, 5);
    add("new", 40, 0);
    EXPECT_TRUE(std::holds_alternative<keep_step>(evaluate(0, begin + 10s)));
    EXPECT_TRUE(std::holds_alternative<advance>(evaluate(0, begin + 80s)));
    EXPECT_TRUE(std::holds_alternative<complete>(evaluate(5, begin + 80s)));
}

TEST_F(rollout_controller_test, little_evidence_at_the_deadline_is_reported_as_undecided)
{
    add("old", 10, 0);
    EXPECT_TRUE(std::holds_alternative<keep_step>(evaluate(0, begin + 80s)));
    EXPECT_TRUE(std::holds_alternative<report_undecided>(evaluate(0, version_plan.deadline)));
}

TEST_F(
    rollout_controller_test, share_of_requests_is_deterministic_and_close_to_the_share_of_the_step)
{
    int to_new = 0;
    for (int i = 0; i < 100000; ++i)
    {
        state::request_id const id{std::to_string(i)};
        bool const chosen =
            controller.uses_new_version(id, version_plan, state::rollout_in_progress{2, begin});
        EXPECT_EQ(
            chosen,
            controller.uses_new_version(id, version_plan, state::rollout_in_progress{2, begin}));
        to_new += chosen ? 1 : 0;
    }
    EXPECT_NEAR(to_new, 5000, 300);
    EXPECT_FALSE(controller.uses_new_version(
        state::request_id{"x"}, version_plan, state::rollout_rolled_back{begin, ""}));
    EXPECT_TRUE(controller.uses_new_version(
        state::request_id{"x"}, version_plan, state::rollout_done{begin}));
}

TEST_F(rollout_controller_test, next_state_never_follows_rolled_back_nor_returns_to_an_earlier_step)
{
    state::rollout_state const back = state::rollout_rolled_back{begin, "e"};
    state::rollout_state const done = state::rollout_done{begin};
    state::rollout_state const moving = state::rollout_in_progress{3, begin};
    EXPECT_FALSE(next_state(back, done));
    EXPECT_FALSE(next_state(back, moving));
    EXPECT_TRUE(next_state(done, back));
    EXPECT_TRUE(next_state(moving, done));
    EXPECT_FALSE(next_state(done, moving));
    EXPECT_FALSE(next_state(moving, state::rollout_in_progress{2, begin}));
}

TEST_F(rollout_controller_test, simulated_rollouts_meet_the_targets)
{
    constexpr int seeds = 10;
    for (int f = 0; f <= static_cast<int>(bench::rollout_fault::thin_traffic); ++f)
        for (int seed = 1; seed <= seeds; ++seed)
        {
            bench::rollout_scenario scenario;
            scenario.fault = static_cast<bench::rollout_fault>(f);
            scenario.seed = static_cast<std::uint64_t>(seed);
            auto const o = bench::simulate_rollout(scenario, bench::sequential_policy{});
            bool const good = scenario.fault == bench::rollout_fault::none ||
                              scenario.fault == bench::rollout_fault::hosts_reclaimed ||
                              scenario.fault == bench::rollout_fault::bad_old_version;
            bool const thin = scenario.fault == bench::rollout_fault::thin_traffic;
            auto const expected = thin ? "undecided" : good ? "done" : "taken_back";
            EXPECT_EQ(o.ended, expected) << bench::name_of(scenario.fault) << " seed " << seed;
            EXPECT_LT(o.faulty_share, 0.01) << bench::name_of(scenario.fault) << " seed " << seed;
        }
}

TEST(sequential_test, false_alarms_stay_under_the_bound_when_evaluated_after_each_trial)
{
    constexpr int runs = 2000;
    constexpr double base_rate = 0.05;
    auto const threshold = std::log(1 / 0.01);
    std::mt19937_64 random(9);
    std::bernoulli_distribution event(base_rate);
    int alarms = 0;
    for (int r = 0; r < runs; ++r)
    {
        trial_counts counts;
        bool alarm = false;
        for (int i = 0; i < 500 && !alarm; ++i)
        {
            ++counts.trials;
            counts.events += event(random) ? 1 : 0;
            alarm = log_evidence_above(counts, base_rate) > threshold;
        }
        alarms += alarm ? 1 : 0;
    }
    EXPECT_LE(alarms, runs / 100);
}

class order_lease_test : public testing::Test
{
protected:
    wall_time now{1000h};
    lease_settings settings;
    state::instance_id me{"me"};
    state::instance_id other{"other"};
};

TEST_F(order_lease_test, free_lease_is_taken_and_renewed_at_the_same_number)
{
    auto const first = lease_to_write(std::nullopt, me, now, settings);
    EXPECT_EQ(first->fencing, state::fencing_number{1});
    auto const renewed = lease_to_write(first, me, now + 5s, settings);
    EXPECT_EQ(renewed->fencing, state::fencing_number{1});
    EXPECT_EQ(renewed->until, now + 15s);
}

TEST_F(order_lease_test, held_lease_is_taken_only_after_its_end_and_the_clock_bound)
{
    auto const theirs = lease_to_write(std::nullopt, other, now, settings);
    EXPECT_FALSE(lease_to_write(theirs, me, now + 10500ms, settings));
    EXPECT_EQ(
        lease_to_write(theirs, me, now + 11500ms, settings)->fencing, state::fencing_number{2});
}

TEST_F(order_lease_test, expired_own_lease_gets_a_new_number)
{
    auto const mine = lease_to_write(std::nullopt, me, now, settings);
    EXPECT_FALSE(lease_to_write(mine, me, now + 10500ms, settings));
    EXPECT_EQ(lease_to_write(mine, me, now + 12s, settings)->fencing, state::fencing_number{2});
}

TEST_F(order_lease_test, order_to_a_server_that_ignores_numbers_stops_earlier)
{
    auto const lease = *lease_to_write(std::nullopt, me, now, settings);
    auto const late = now + 9s;
    EXPECT_TRUE(may_send_order(lease, me, state::fencing_mode::checked, late, settings));
    EXPECT_FALSE(may_send_order(lease, me, state::fencing_mode::ignored, late, settings));
    EXPECT_FALSE(may_send_order(lease, other, state::fencing_mode::checked, now, settings));
}

} // namespace
} // namespace auburnweir::coordination
