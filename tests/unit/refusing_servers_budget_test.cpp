#include "coordination/attempt_policy.hpp"
#include "coordination/retry_budget.hpp"
#include "coordination/server_choice.hpp"

#include <array>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace auburnweir::coordination
{
namespace
{

using namespace std::chrono_literals;

/// Two servers that refuse and one that serves, and an instance with few requests, which arrive two
/// at a time.
class refusing_servers_budget_test : public testing::Test
{
protected:
    struct pending_request
    {
        choice_request choice;
        attempt_progress progress;
        state::backend_id server; ///< of the attempt under way
        std::optional<held_retry> retry;
        bool done = false;
    };

    refusing_servers_budget_test()
    {
        for (auto const& id : {near, refusing_too, sound})
        {
            state::listed_server server;
            server.id = id;
            server.service = service;
            server.failure_domain = state::failure_domain_id{id.str()};
            table.apply(server, now);
        }
    }

    void select(pending_request& r)
    {
        r.choice.can_retry_refusal = may_follow_refusal(r.progress) && budget.allows(service, now);
        auto const chosen = choose_server(
            nearest_least_loaded{}, table.pool(service, now).open, r.choice, now, random);
        if (needs_held_retry(*chosen, r.choice, now))
            r.retry = held_retry::acquire(budget, service, now);
        r.server = chosen->listed.id;
        r.choice.tried_backends.insert(r.server);
        table.try_send(r.server, now);
        ++r.progress.attempts;
        ++asked[r.server];
    }

    void end_attempt(pending_request& r)
    {
        bool const refuses = refusing.contains(r.server);
        table.record_end(
            r.server, refuses ? state::server_outcome::refused : state::server_outcome::answered,
            now);
        if (!refuses)
        {
            r.retry.reset();
            r.done = true;
            return;
        }
        bool const is_paid = r.retry || budget.try_acquire(service, now);
        if (r.retry)
            r.retry->use();
        r.retry.reset();
        attempt_not_run const refusal{state::retry_reason::backend_overloaded};
        if (std::holds_alternative<retry_elsewhere>(decide_attempt(refusal, r.progress, is_paid)))
            return;
        r.done = true;
        ++refused_requests;
    }

    /// Sends two requests at the same time: both are under way before either has a response.
    void send_two()
    {
        std::array<pending_request, 2> requests;
        for (auto& r : requests)
        {
            r.choice.failure_domain = state::failure_domain_id{near.str()};
            r.progress.time_left = 1500ms;
            budget.record_request(service, now);
        }
        while (!requests[0].done || !requests[1].done)
        {
            for (auto& r : requests)
                if (!r.done)
                    select(r);
            for (auto& r : requests)
                if (!r.done)
                    end_attempt(r);
        }
    }

    void send_for(state::duration length, state::duration interval)
    {
        for (auto const end_at = now + length; now < end_at; now += interval)
            send_two();
    }

    static inline state::backend_id const near{"near"};
    static inline state::backend_id const refusing_too{"refusing-too"};
    static inline state::backend_id const sound{"sound"};
    static inline state::service_id const service{"desk"};
    std::set<state::backend_id> refusing{near, refusing_too};
    state::server_table table;
    retry_budget budget{retry_budget_limits{0.2, 5.87, 10s}}; ///< of three instances, slack 22
    std::map<state::backend_id, int> asked;
    int refused_requests = 0;
    std::mt19937_64 random{1};
    state::time_point now{1h};
};

// Guards against CONFIG: requests at the same time all asked the servers that refuse again, beyond
// what the retry budget could pay, and were refused while another server was idle.
TEST_F(refusing_servers_budget_test, requests_that_no_retry_can_follow_go_to_the_sound_server)
{
    send_for(20s, 750ms);
    EXPECT_EQ(refused_requests, 0);
    EXPECT_GE(asked[sound], 54);
}

TEST_F(refusing_servers_budget_test, servers_that_refuse_are_asked_again_from_time_to_time)
{
    send_for(20s, 750ms);
    asked.clear();
    send_for(20s, 750ms);
    EXPECT_GE(asked[near], 2);
    EXPECT_LE(asked[near] + asked[refusing_too], 20);
}

TEST_F(refusing_servers_budget_test, server_that_serves_again_is_used_again)
{
    send_for(20s, 750ms);
    refusing.erase(near);
    send_for(10s, 750ms);
    asked.clear();
    send_for(10s, 750ms);
    EXPECT_GE(asked[near], 24);
}

// The doubt about a server ends, also while other failures use up the budget.
TEST_F(refusing_servers_budget_test, server_is_asked_again_without_budget_after_a_while)
{
    send_for(20s, 750ms);
    refusing.erase(near);
    budget.set_slack(-1000);
    send_for(20s, 750ms);
    asked.clear();
    send_for(5s, 750ms);
    EXPECT_GE(asked[near], 10);
}

// The rule must not keep requests from a service all of whose servers refuse.
TEST_F(refusing_servers_budget_test, only_refusing_servers_are_asked_without_budget)
{
    refusing.insert(sound);
    budget.set_slack(-1000);
    send_for(3s, 750ms);
    EXPECT_EQ(asked[near] + asked[refusing_too] + asked[sound], 8);
}

} // namespace
} // namespace auburnweir::coordination
