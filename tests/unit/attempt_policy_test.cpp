#include "coordination/attempt_policy.hpp"
#include "coordination/retry_budget.hpp"

#include <gtest/gtest.h>

namespace auburnweir::coordination
{
namespace
{

using namespace std::chrono_literals;
using state::retry_reason;
using state::retry_rule;

class attempt_policy_test : public testing::Test
{
protected:
    static attempt_progress after_one_attempt(retry_rule rule, bool possibly_executed)
    {
        attempt_progress p;
        p.retry = rule;
        p.attempts = 1;
        p.possibly_executed = possibly_executed ? 1 : 0;
        p.max_possibly_executed = 2;
        p.time_left = 1s;
        return p;
    }

    template <class Decision>
    static bool is(attempt_decision const& d)
    {
        return std::holds_alternative<Decision>(d);
    }

    static constexpr attempt_not_run overloaded{retry_reason::backend_overloaded};
};

TEST_F(attempt_policy_test, decide_when_an_at_most_once_request_is_lost_never_retries)
{
    auto const p = after_one_attempt(retry_rule::at_most_once, true);
    EXPECT_TRUE(is<reply_outcome_unknown>(decide_attempt(attempt_lost{}, p, true)));
    EXPECT_TRUE(is<relay_response>(decide_attempt(attempt_failed{}, p, true)));
}

TEST_F(attempt_policy_test, decide_when_an_at_most_once_request_did_not_run_retries)
{
    auto const p = after_one_attempt(retry_rule::at_most_once, false);
    EXPECT_TRUE(is<retry_elsewhere>(decide_attempt(overloaded, p, true)));
}

TEST_F(attempt_policy_test, decide_when_an_idempotent_request_fails_retries)
{
    auto const p = after_one_attempt(retry_rule::idempotent, true);
    EXPECT_TRUE(is<retry_elsewhere>(decide_attempt(attempt_failed{}, p, true)));
    EXPECT_TRUE(is<retry_elsewhere>(decide_attempt(attempt_lost{}, p, true)));
}

TEST_F(attempt_policy_test, decide_when_a_stream_is_truncated_goes_on_only_where_it_may_run_again)
{
    auto resumable = after_one_attempt(retry_rule::resumable, true);
    resumable.response_begun = true;
    auto const decision = decide_attempt(attempt_truncated{}, resumable, true);
    ASSERT_TRUE(is<retry_elsewhere>(decision));
    EXPECT_EQ(std::get<retry_elsewhere>(decision).cause, state::retry_reason::stream_truncated);
    EXPECT_TRUE(is<reply_outcome_unknown>(decide_attempt(attempt_truncated{}, resumable, false)));
    auto const once = after_one_attempt(retry_rule::at_most_once, true);
    EXPECT_TRUE(is<reply_outcome_unknown>(decide_attempt(attempt_truncated{}, once, true)));
}

TEST_F(attempt_policy_test, decide_when_the_response_does_not_fit_retries_only_idempotent_requests)
{
    auto const idempotent = after_one_attempt(retry_rule::idempotent, true);
    EXPECT_TRUE(is<retry_elsewhere>(decide_attempt(attempt_unbuffered{}, idempotent, true)));
    auto const once = after_one_attempt(retry_rule::at_most_once, true);
    auto const decision = decide_attempt(attempt_unbuffered{}, once, true);
    ASSERT_TRUE(is<reply_outcome_unknown>(decision));
    EXPECT_EQ(
        std::get<reply_outcome_unknown>(decision).reason,
        state::refusal_reason::response_memory_exhausted);
}

TEST_F(attempt_policy_test, decide_when_the_attempts_are_exhausted_gives_up)
{
    auto p = after_one_attempt(retry_rule::idempotent, true);
    p.possibly_executed = 2;
    EXPECT_TRUE(is<relay_response>(decide_attempt(attempt_failed{}, p, true)));
    EXPECT_TRUE(is<reply_outcome_unknown>(decide_attempt(attempt_lost{}, p, true)));
}

TEST_F(attempt_policy_test, decide_when_nothing_ran_and_the_budget_is_exhausted_replies_not_run)
{
    auto const p = after_one_attempt(retry_rule::idempotent, false);
    auto const d = decide_attempt(overloaded, p, false);
    ASSERT_TRUE(is<reply_not_run>(d));
    EXPECT_EQ(std::get<reply_not_run>(d).reason, state::refusal_reason::backend_full);
    EXPECT_EQ(std::get<reply_not_run>(d).cause, state::give_up_reason::budget_exhausted);
}

TEST_F(attempt_policy_test, decide_when_an_earlier_attempt_may_have_run_never_replies_not_run)
{
    auto p = after_one_attempt(retry_rule::idempotent, true);
    p.attempts = 2;
    EXPECT_TRUE(is<reply_outcome_unknown>(decide_attempt(overloaded, p, false)));
}

TEST_F(attempt_policy_test, decide_when_little_time_is_left_gives_up)
{
    auto p = after_one_attempt(retry_rule::idempotent, true);
    p.time_left = 10ms;
    EXPECT_TRUE(is<reply_outcome_unknown>(decide_attempt(attempt_lost{}, p, true)));
}

// Guards against ORDER and MIXED: an error's text within a stream that has begun.
TEST_F(attempt_policy_test, decide_when_a_response_has_begun_never_relays_another)
{
    auto p = after_one_attempt(retry_rule::resumable, true);
    p.response_begun = true;
    EXPECT_TRUE(is<retry_elsewhere>(decide_attempt(attempt_failed{}, p, true)));
    EXPECT_TRUE(is<retry_elsewhere>(decide_attempt(attempt_lost{}, p, true)));
    EXPECT_TRUE(is<reply_outcome_unknown>(decide_attempt(attempt_failed{}, p, false)));
    p.possibly_executed = 2;
    EXPECT_TRUE(is<reply_outcome_unknown>(decide_attempt(attempt_failed{}, p, true)));
}

TEST_F(
    attempt_policy_test, decide_when_a_status_denies_a_run_relays_it_for_idempotent_requests_alone)
{
    attempt_failed const denied{true};
    auto const idempotent = after_one_attempt(retry_rule::idempotent, true);
    EXPECT_TRUE(is<relay_response>(decide_attempt(denied, idempotent, false)));
    auto const resumable = after_one_attempt(retry_rule::resumable, true);
    EXPECT_TRUE(is<reply_outcome_unknown>(decide_attempt(denied, resumable, false)));
    auto const once = after_one_attempt(retry_rule::at_most_once, true);
    EXPECT_TRUE(is<reply_outcome_unknown>(decide_attempt(denied, once, true)));
}

TEST_F(attempt_policy_test, refusal_of_the_last_attempt_can_not_be_followed)
{
    auto p = after_one_attempt(retry_rule::at_most_once, false);
    EXPECT_TRUE(may_follow_refusal(p));
    p.attempts = 3;
    EXPECT_FALSE(may_follow_refusal(p));
    p.attempts = 1;
    p.time_left = 10ms;
    EXPECT_FALSE(may_follow_refusal(p));
}

class retry_budget_test : public testing::Test
{
protected:
    retry_budget budget{retry_budget_limits{0.5, 1, 10s}};
    state::service_id const desk{"desk"};
    state::time_point now{1h};
};

TEST_F(retry_budget_test, try_acquire_within_the_slack_is_allowed_without_requests)
{
    EXPECT_TRUE(budget.try_acquire(desk, now));
    EXPECT_FALSE(budget.try_acquire(desk, now));
}

TEST_F(retry_budget_test, try_acquire_beyond_the_ratio_to_the_windows_requests_is_refused)
{
    for (int i = 0; i < 4; ++i)
        budget.record_request(desk, now);
    EXPECT_TRUE(budget.try_acquire(desk, now));
    EXPECT_TRUE(budget.try_acquire(desk, now));
    EXPECT_TRUE(budget.try_acquire(desk, now));
    EXPECT_FALSE(budget.try_acquire(desk, now));
}

TEST_F(retry_budget_test, try_acquire_after_the_requests_have_left_the_window_uses_only_the_slack)
{
    for (int i = 0; i < 10; ++i)
        budget.record_request(desk, now);
    now += 11s;
    EXPECT_TRUE(budget.try_acquire(desk, now));
    EXPECT_FALSE(budget.try_acquire(desk, now));
}

TEST_F(retry_budget_test, try_acquire_after_the_local_slack_was_reduced_is_refused)
{
    budget.set_slack(0.5);
    EXPECT_FALSE(budget.try_acquire(desk, now));
    budget.set_slack(1);
    EXPECT_TRUE(budget.try_acquire(desk, now));
}

TEST_F(retry_budget_test, try_acquire_for_another_service_uses_a_separate_budget)
{
    EXPECT_TRUE(budget.try_acquire(desk, now));
    EXPECT_TRUE(budget.try_acquire(state::service_id{"other"}, now));
}

TEST_F(retry_budget_test, held_retry_that_is_not_used_is_released)
{
    {
        auto const held = held_retry::acquire(budget, desk, now);
        ASSERT_TRUE(held);
        EXPECT_FALSE(budget.allows(desk, now));
        EXPECT_FALSE(held_retry::acquire(budget, desk, now));
    }
    EXPECT_TRUE(budget.try_acquire(desk, now));
}

TEST_F(retry_budget_test, held_retry_that_is_used_stays_charged)
{
    {
        auto held = held_retry::acquire(budget, desk, now);
        ASSERT_TRUE(held);
        auto moved = std::move(held);
        moved->use();
    }
    EXPECT_FALSE(budget.allows(desk, now));
    now += 11s;
    EXPECT_TRUE(budget.allows(desk, now));
}

TEST_F(retry_budget_test, held_retry_that_outlives_the_window_releases_no_other)
{
    auto held = held_retry::acquire(budget, desk, now);
    now += 11s;
    EXPECT_TRUE(budget.try_acquire(desk, now));
    held.reset();
    EXPECT_FALSE(budget.allows(desk, now));
}

} // namespace
} // namespace auburnweir::coordination
