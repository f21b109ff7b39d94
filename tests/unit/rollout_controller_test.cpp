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

class version_move_test : public testing::Test
{
protected:
    version_move_test()
    {
        move.service = state::service_id{"s"};
        move.from = state::version_id{"old"};
        move.to = state::version_id{"new"};
        move.begin = begin;
        move.deadline = begin + 600s;
    }

    void add(
        char const* version, std::uint64_t succeeded, std::uint64_t failed, double seconds = .2)
    {
        auto& c = evidence[{move.service, state::version_id{version}, state::route_id{"r"}}];
        c.succeeded += succeeded;
        c.failed += failed;
        c.latency[state::latency_class(seconds)] += succeeded;
    }

    rollout_verdict judge(std::size_t step, wall_time now)
    {
        return mover.judge(move, {step, begin, false}, evidence, now);
    }

    wall_time begin{1000h};
    state::version_move move;
    state::version_evidence evidence;
    rollout_controller mover{rollout_settings{}};
};

TEST_F(version_move_test, few_failures_of_a_new_version_take_it_back)
{
    add("old", 1000, 5);
    add("new", 0, 4);
    auto const verdict = judge(0, begin + 1s);
    ASSERT_TRUE(std::holds_alternative<roll_back>(verdict));
    EXPECT_EQ(std::get<roll_back>(verdict).evidence, "route r: failed 4 of 4, before 5 of 1005");
}

TEST_F(version_move_test, failures_that_the_old_version_has_as_well_do_not_count)
{
    add("old", 500, 500);
    add("new", 20, 20);
    EXPECT_TRUE(std::holds_alternative<keep_going>(judge(0, begin + 1s)));
}

TEST_F(version_move_test, slow_answers_take_it_back)
{
    add("old", 1000, 0, 0.2);
    add("new", 30, 0, 1.0);
    EXPECT_TRUE(std::holds_alternative<roll_back>(judge(0, begin + 1s)));
}

TEST_F(version_move_test, enough_good_evidence_after_the_step_time_advances)
{
    add("old", 1000, 5);
    add("new", 40, 0);
    EXPECT_TRUE(std::holds_alternative<keep_going>(judge(0, begin + 10s)));
    EXPECT_TRUE(std::holds_alternative<advance>(judge(0, begin + 80s)));
    EXPECT_TRUE(std::holds_alternative<complete>(judge(5, begin + 80s)));
}

TEST_F(version_move_test, thin_evidence_at_the_deadline_is_reported_and_stays)
{
    add("old", 10, 0);
    EXPECT_TRUE(std::holds_alternative<keep_going>(judge(0, begin + 80s)));
    EXPECT_TRUE(std::holds_alternative<report_undecided>(judge(0, move.deadline)));
}

TEST_F(version_move_test, share_of_requests_is_deterministic_and_close_to_the_step)
{
    int to_new = 0;
    for (int i = 0; i < 100000; ++i)
    {
        state::request_id const id{std::to_string(i)};
        bool const chosen = mover.goes_to_new(id, move, state::move_in_progress{2, begin});
        EXPECT_EQ(chosen, mover.goes_to_new(id, move, state::move_in_progress{2, begin}));
        to_new += chosen ? 1 : 0;
    }
    EXPECT_NEAR(to_new, 5000, 300);
    EXPECT_FALSE(
        mover.goes_to_new(state::request_id{"x"}, move, state::move_taken_back{begin, ""}));
    EXPECT_TRUE(mover.goes_to_new(state::request_id{"x"}, move, state::move_done{begin}));
}

TEST_F(version_move_test, taken_back_wins_every_race)
{
    state::move_state const back = state::move_taken_back{begin, "e"};
    state::move_state const done = state::move_done{begin};
    state::move_state const moving = state::move_in_progress{3, begin};
    EXPECT_FALSE(next_state(back, done));
    EXPECT_FALSE(next_state(back, moving));
    EXPECT_TRUE(next_state(done, back));
    EXPECT_TRUE(next_state(moving, done));
    EXPECT_FALSE(next_state(done, moving));
    EXPECT_FALSE(next_state(moving, state::move_in_progress{2, begin}));
}

TEST_F(version_move_test, seeded_traces_meet_the_targets)
{
    constexpr int seeds = 10;
    for (int f = 0; f <= static_cast<int>(bench::move_fault::thin_traffic); ++f)
        for (int seed = 1; seed <= seeds; ++seed)
        {
            bench::move_plan plan;
            plan.fault = static_cast<bench::move_fault>(f);
            plan.seed = static_cast<std::uint64_t>(seed);
            auto const o = bench::play_move(plan, bench::sequential_policy{});
            bool const good = plan.fault == bench::move_fault::none ||
                              plan.fault == bench::move_fault::hosts_reclaimed ||
                              plan.fault == bench::move_fault::bad_old_version;
            bool const thin = plan.fault == bench::move_fault::thin_traffic;
            auto const expected = thin ? "undecided" : good ? "done" : "taken_back";
            EXPECT_EQ(o.ended, expected) << bench::name_of(plan.fault) << " seed " << seed;
            EXPECT_LT(o.bad_share, 0.01) << bench::name_of(plan.fault) << " seed " << seed;
        }
}

TEST(sequential_test, false_alarms_stay_under_the_bound_with_a_look_after_each_trial)
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
    auto const first = wanted_lease(std::nullopt, me, now, settings);
    EXPECT_EQ(first->fencing, state::fencing_number{1});
    auto const renewed = wanted_lease(first, me, now + 5s, settings);
    EXPECT_EQ(renewed->fencing, state::fencing_number{1});
    EXPECT_EQ(renewed->until, now + 15s);
}

TEST_F(order_lease_test, held_lease_is_taken_only_after_its_end_and_the_clock_bound)
{
    auto const theirs = wanted_lease(std::nullopt, other, now, settings);
    EXPECT_FALSE(wanted_lease(theirs, me, now + 10500ms, settings));
    EXPECT_EQ(wanted_lease(theirs, me, now + 11500ms, settings)->fencing, state::fencing_number{2});
}

TEST_F(order_lease_test, lapsed_own_lease_gets_a_new_number)
{
    auto const mine = wanted_lease(std::nullopt, me, now, settings);
    EXPECT_FALSE(wanted_lease(mine, me, now + 10500ms, settings));
    EXPECT_EQ(wanted_lease(mine, me, now + 12s, settings)->fencing, state::fencing_number{2});
}

TEST_F(order_lease_test, order_to_a_server_that_ignores_numbers_stops_earlier)
{
    auto const lease = *wanted_lease(std::nullopt, me, now, settings);
    auto const late = now + 9s;
    EXPECT_TRUE(may_order(lease, me, state::fencing_mode::checked, late, settings));
    EXPECT_FALSE(may_order(lease, me, state::fencing_mode::ignored, late, settings));
    EXPECT_FALSE(may_order(lease, other, state::fencing_mode::checked, now, settings));
}

} // namespace
} // namespace auburnweir::coordination
