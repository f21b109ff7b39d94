#include "coordination/admission_queue.hpp"
#include "coordination/retry_policy.hpp"

#include <gtest/gtest.h>
#include <map>

namespace auburnweir::coordination
{
namespace
{

using namespace std::chrono_literals;
using state::organisation_id;
using state::time_point;

class admission_test : public testing::Test
{
protected:
    static admission_settings slots(std::int64_t n)
    {
        admission_settings s;
        s.capacity = n;
        s.reserved_share = 0;
        return s;
    }

    static admission_request request(
        std::string const& organisation, double weight = 1,
        state::priority priority = state::priority::ordinary)
    {
        admission_request r;
        r.organisation = organisation_id{organisation};
        r.weight = weight;
        r.priority = priority;
        r.cost = state::token_count{100};
        return r;
    }

    static bool is_admitted(admission_decision const& d)
    {
        return std::holds_alternative<admitted>(d);
    }

    time_point now{1h};
};

TEST_F(admission_test, offer_with_a_free_slot_is_admitted)
{
    admission_queue queue(slots(1));
    EXPECT_TRUE(is_admitted(queue.offer(request("a"), now)));
}

TEST_F(admission_test, offer_beyond_the_queue_limit_is_refused)
{
    auto settings = slots(1);
    settings.queue_limit = 1;
    admission_queue queue(settings);
    queue.offer(request("a"), now);
    queue.offer(request("a"), now);

    auto const decision = queue.offer(request("a"), now);

    EXPECT_EQ(std::get<refused>(decision).reason, state::refusal_reason::queue_full);
}

TEST_F(admission_test, burst_of_one_organisation_does_not_delay_another)
{
    admission_queue queue(slots(1));
    auto running = std::get<admitted>(queue.offer(request("large"), now)).ticket;
    for (int i = 0; i < 100; ++i)
        queue.offer(request("large"), now);
    auto const small = std::get<queued>(queue.offer(request("small"), now)).ticket;

    auto const first = queue.release(running, now).admitted.at(0);
    auto const second = queue.release(first, now).admitted.at(0);

    EXPECT_TRUE(first == small || second == small);
}

TEST_F(admission_test, organisations_share_tokens_in_proportion_to_weights)
{
    admission_queue queue(slots(1));
    auto running = std::get<admitted>(queue.offer(request("other"), now)).ticket;
    std::map<std::uint64_t, std::string> owners;
    for (int i = 0; i < 60; ++i)
        for (auto const* who : {"heavy", "light"})
        {
            auto const r = request(who, who == std::string{"heavy"} ? 2 : 1);
            owners[std::get<queued>(queue.offer(r, now)).ticket.count()] = who;
        }
    int heavy = 0;
    for (int i = 0; i < 60; ++i)
    {
        running = queue.release(running, now).admitted.at(0);
        heavy += owners[running.count()] == "heavy" ? 1 : 0;
    }

    EXPECT_NEAR(heavy, 40, 1);
}

TEST_F(admission_test, interactive_request_is_admitted_before_deferrable_until_that_has_aged)
{
    admission_queue queue(slots(1));
    auto running = std::get<admitted>(queue.offer(request("a"), now)).ticket;
    auto const old =
        std::get<queued>(queue.offer(request("a", 1, state::priority::deferrable), now)).ticket;
    auto const later = now + 25s;
    auto const fresh =
        std::get<queued>(queue.offer(request("a", 1, state::priority::interactive), now)).ticket;
    running = queue.release(running, now).admitted.at(0);
    EXPECT_EQ(running, fresh);
    queue.offer(request("b", 1, state::priority::interactive), later);

    running = queue.release(running, later).admitted.at(0);

    EXPECT_EQ(running, old);
}

TEST_F(admission_test, queued_request_expires_at_its_deadline)
{
    admission_queue queue(slots(1));
    queue.offer(request("a"), now);
    auto r = request("a");
    r.deadline = now + 1s;
    auto const ticket = std::get<queued>(queue.offer(r, now)).ticket;

    EXPECT_TRUE(queue.expire(now + 500ms).expired.empty());
    EXPECT_EQ(queue.expire(now + 1s).expired, std::vector{ticket});
}

TEST_F(admission_test, offer_that_cannot_meet_its_deadline_is_refused_at_once)
{
    admission_queue queue(slots(1));
    auto running = std::get<admitted>(queue.offer(request("a"), now)).ticket;
    for (int i = 0; i < 30; ++i)
        queue.offer(request("a"), now);
    for (int i = 0; i < 10; ++i)
        running = queue.release(running, now += 1s).admitted.at(0);
    auto r = request("a");
    r.deadline = now + 1s;

    auto const decision = queue.offer(r, now);

    EXPECT_EQ(std::get<refused>(decision).reason, state::refusal_reason::deadline_unreachable);
}

TEST_F(admission_test, reserved_slots_go_to_organisations_below_their_share)
{
    auto settings = slots(10);
    settings.reserved_share = 0.2;
    admission_queue queue(settings);
    queue.offer(request("b"), now);
    int large = 0;
    while (is_admitted(queue.offer(request("large"), now)))
        ++large;

    EXPECT_EQ(large, 7);
    EXPECT_TRUE(is_admitted(queue.offer(request("small"), now)) || queue.waiting() == 2);
}

TEST_F(admission_test, queue_is_empty_after_release_and_withdrawal)
{
    admission_queue queue(slots(1));
    auto const running = std::get<admitted>(queue.offer(request("a"), now)).ticket;
    auto const waiting = std::get<queued>(queue.offer(request("a"), now)).ticket;
    queue.withdraw(waiting);

    EXPECT_TRUE(queue.release(running, now).admitted.empty());
    EXPECT_EQ(queue.in_progress(), 0);
    EXPECT_EQ(queue.waiting(), 0);
}

class retry_policy_test : public testing::Test
{
protected:
    static failed_attempt attempt(retry_safety safety = retry_safety::idempotent)
    {
        failed_attempt a;
        a.service = state::service_id{"s"};
        a.safety = safety;
        return a;
    }

    static state::give_up_reason reason_of(retry_decision const& d)
    {
        return std::get<give_up>(d).reason;
    }

    static bool retries(retry_decision const& d) { return std::holds_alternative<retry_after>(d); }

    static retry_settings budget(double reserve, double share)
    {
        retry_settings s;
        s.budget_reserve = reserve;
        s.budget_share = share;
        return s;
    }

    std::mt19937_64 random{3};
    time_point now{1h};
};

TEST_F(retry_policy_test, decide_on_an_operation_that_may_have_run_gives_up)
{
    retry_policy policy({});
    EXPECT_EQ(
        reason_of(policy.decide(attempt(retry_safety::at_most_once), now, random)),
        state::give_up_reason::not_idempotent);
    EXPECT_TRUE(retries(policy.decide(attempt(retry_safety::proved_not_run), now, random)));
}

TEST_F(retry_policy_test, decide_when_the_budget_is_exhausted_gives_up)
{
    retry_policy policy(budget(2, 0.1));
    EXPECT_TRUE(retries(policy.decide(attempt(), now, random)));
    EXPECT_TRUE(retries(policy.decide(attempt(), now, random)));

    EXPECT_EQ(
        reason_of(policy.decide(attempt(), now, random)), state::give_up_reason::budget_exhausted);
}

TEST_F(retry_policy_test, retries_stay_within_their_share_of_requests)
{
    retry_policy policy(budget(0, 0.1));
    int allowed = 0;
    for (int i = 0; i < 10000; ++i)
    {
        policy.record_request(state::service_id{"s"});
        allowed += retries(policy.decide(attempt(), now, random)) ? 1 : 0;
    }

    EXPECT_LE(allowed, 1000);
    EXPECT_GE(allowed, 990);
}

TEST_F(retry_policy_test, decide_near_the_deadline_gives_up)
{
    retry_policy policy({});
    auto a = attempt();
    a.deadline = now;
    EXPECT_EQ(reason_of(policy.decide(a, now, random)), state::give_up_reason::deadline_too_close);
}

TEST_F(retry_policy_test, retry_because_of_a_leaving_backend_is_not_charged_to_the_budget)
{
    retry_policy policy(budget(1, 0));
    auto a = attempt();
    a.cause = state::retry_reason::backend_leaving;
    for (int i = 0; i < 5; ++i)
        EXPECT_TRUE(retries(policy.decide(a, now, random)));
    EXPECT_EQ(policy.budget_left(state::service_id{"s"}), 1);
}

TEST_F(retry_policy_test, delay_grows_with_the_attempts_and_is_randomised)
{
    retry_policy policy(budget(1000, 0));
    auto a = attempt();
    a.number = 3;
    state::duration max_delay{0};
    for (int i = 0; i < 200; ++i)
        max_delay = std::max(max_delay, std::get<retry_after>(policy.decide(a, now, random)).delay);
    EXPECT_GT(max_delay, 20ms);
    EXPECT_LE(max_delay, 40ms);
}

} // namespace
} // namespace auburnweir::coordination
