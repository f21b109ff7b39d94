#include "support/deployment.hpp"

#include <csignal>
#include <gtest/gtest.h>
#include <thread>

/// At-most-once execution of operations under lost responses, outages, races and killed processes.

namespace auburnweir::tests
{
namespace
{

class operations_test : public testing::Test
{
protected:
    void deploy(deployment_plan plan = {}) { system.emplace(std::move(plan)); }

    received_response book(
        int entry, std::string const& key, std::string const& body = "two vans",
        std::string const& operation = "book")
    {
        auto headers = with_bearer_token({{"X-Request-Id", "id-" + key}});
        headers.emplace_back("Idempotency-Key", key);
        return call(
            system->entry_port(entry), "POST", "/v1/services/booking/" + operation, headers, body);
    }

    received_response look_up(std::string const& id, std::string const& body)
    {
        return call(
            system->entry_port(0), "POST", "/v1/services/booking/availability",
            with_bearer_token({{"X-Request-Id", id}}), body);
    }

    void set_service_faults(json const& fault)
    {
        for (int i = 0; i < 2; ++i)
            deployment::control(system->service(i), fault);
    }

    /// Services send answers with neither a length nor chunks, in two parts.
    void send_unframed_answers(std::string const& content_type, int pause_ms)
    {
        set_service_faults({{"unframed_pause_ms", pause_ms}, {"content_type", content_type}});
    }

    /// Kills the services that have begun to answer; their kernel closes the connections with a
    /// FIN.
    /// @return how many
    int kill_running_services(std::string const& key)
    {
        eventually([&] { return system->run_count(key) > 0; });
        std::this_thread::sleep_for(std::chrono::milliseconds{100});
        int killed = 0;
        for (int i = 0; i < 2; ++i)
        {
            auto& service = system->service(i);
            if (!call(service.port(), "GET", "/runs").parsed().contains(key))
                continue;
            service.kill();
            ++killed;
        }
        return killed;
    }

    std::optional<deployment> system;
};

TEST_F(operations_test, repeated_key_runs_once_with_same_answer)
{
    deploy();
    auto const first = book(0, "k");
    auto const second = book(1, "k");
    EXPECT_EQ(first.status, 200);
    EXPECT_EQ(second.body, first.body);
    EXPECT_EQ(second.header("Idempotency-Replayed"), "true");
    EXPECT_EQ(system->run_count("k"), 1);
}

TEST_F(operations_test, concurrent_key_at_all_entries_runs_once)
{
    deploy();
    set_service_faults({{"delay_ms", 100}});
    std::vector<std::thread> callers;
    std::atomic<int> answers_from_first_run{0};
    for (int i = 0; i < 12; ++i)
        callers.emplace_back(
            [&, i]
            {
                auto const response = book(i % 3, "k");
                answers_from_first_run +=
                    protocol::integer_at(response.parsed(), "run") == 1 ? 1 : 0;
            });
    for (auto& c : callers)
        c.join();
    EXPECT_EQ(answers_from_first_run, 12);
    EXPECT_EQ(system->run_count("k"), 1);
}

// Guards against MIXED: a second copy of an answer, ahead of the connection's next answer.
TEST_F(operations_test, answer_after_repeated_answer_is_its_own)
{
    deploy();
    set_service_faults({{"repeat_answers", true}});
    for (int i = 0; i < 8; ++i)
    {
        auto const body = "date " + std::to_string(i);
        EXPECT_EQ(protocol::text_at(look_up("a" + std::to_string(i), body).parsed(), "echo"), body);
    }
}

// Guards against a false "not run": an attempt that was lost, then one that did not run.
TEST_F(operations_test, operation_lost_at_one_server_and_refused_by_another_is_of_unknown_outcome)
{
    deploy();
    deployment::control(system->service(0), {{"cut_after_effect", true}});
    deployment::control(system->service(1), {{"not_run", true}});
    int lost = 0;
    for (int i = 0; i < 8; ++i)
    {
        auto const id = "l" + std::to_string(i);
        auto const response = look_up(id, "date");
        bool const has_run = system->run_count(id) > 0;
        lost += has_run ? 1 : 0;
        EXPECT_TRUE(!has_run || response.run_outcome() != "not_run") << id;
    }
    EXPECT_GT(lost, 0);
}

TEST_F(operations_test, reused_key_with_different_body_is_refused)
{
    deploy();
    book(0, "k", "two vans");
    auto const response = book(1, "k", "three vans");
    EXPECT_EQ(response.status, 422);
    EXPECT_EQ(response.reason(), "key_reused");
    EXPECT_EQ(response.run_outcome(), "not_run");
    EXPECT_EQ(system->run_count("k"), 1);
}

TEST_F(operations_test, store_write_with_lost_response_is_resolved_by_reading)
{
    deploy();
    for (int lost_responses = 1; lost_responses <= 3; ++lost_responses)
    {
        auto const key = "k" + std::to_string(lost_responses);
        deployment::control(system->platform(), {{"lose_answers", lost_responses}});
        EXPECT_EQ(book(0, key).status, 200) << key;
        EXPECT_EQ(book(1, key).status, 200) << key;
        EXPECT_EQ(system->run_count(key), 1) << key;
    }
}

TEST_F(operations_test, operation_during_store_outage_is_refused_and_key_stays_free)
{
    deploy();
    deployment::control(system->platform(), {{"down", true}});
    auto const refused = book(0, "k");
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.reason(), "store_unavailable");
    EXPECT_EQ(refused.run_outcome(), "not_run");
    EXPECT_FALSE(refused.header("Retry-After").empty());
    EXPECT_EQ(system->run_count("k"), 0);

    deployment::control(system->platform(), {{"down", false}});
    EXPECT_EQ(book(0, "k").status, 200);
    EXPECT_EQ(system->run_count("k"), 1);
}

TEST_F(operations_test, operation_with_all_store_responses_lost_is_refused_and_key_stays_free)
{
    deployment_plan plan;
    plan.proxied_platform = true;
    plan.entry_settings["store_timeout_ms"] = "200";
    deploy(plan);
    system->set_platform_network_faults({{"lose_answers", true}});
    auto const refused = book(0, "k");
    EXPECT_EQ(refused.run_outcome(), "not_run");
    EXPECT_EQ(system->run_count("k"), 0);

    system->set_platform_network_faults({{"lose_answers", false}});
    EXPECT_TRUE(eventually([&] { return book(1, "k").status == 200; }));
    EXPECT_EQ(system->run_count("k"), 1);
}

TEST_F(operations_test, operation_during_store_freeze_runs_once)
{
    deployment_plan plan;
    plan.proxied_platform = true;
    plan.entry_settings["store_timeout_ms"] = "200";
    deploy(plan);
    set_service_faults({{"delay_ms", 300}});
    std::thread caller([&] { book(0, "k"); });
    eventually([&] { return system->run_count("k") == 1; });
    system->set_platform_network_faults({{"freeze", true}});
    caller.join();
    system->set_platform_network_faults({{"freeze", false}});

    EXPECT_TRUE(eventually([&] { return book(1, "k").status == 200; }));
    EXPECT_EQ(system->run_count("k"), 1);
}

TEST_F(operations_test, operation_with_slow_store_and_service_runs_once)
{
    deployment_plan plan;
    plan.proxied_platform = true;
    plan.proxied_services = true;
    deploy(plan);
    system->set_platform_network_faults({{"delay_ms", 60}});
    for (int i = 0; i < 2; ++i)
        system->set_service_network_faults(i, {{"delay_ms", 80}});
    EXPECT_EQ(book(0, "k").status, 200);
    EXPECT_EQ(book(1, "k").header("Idempotency-Replayed"), "true");
    EXPECT_EQ(system->run_count("k"), 1);
}

TEST_F(operations_test, operation_after_service_connection_cut_is_outcome_unknown)
{
    deployment_plan plan;
    plan.proxied_services = true;
    deploy(plan);
    set_service_faults({{"delay_ms", 400}});
    received_response response;
    std::thread caller([&] { response = book(0, "k"); });
    eventually([&] { return system->run_count("k") == 1; });
    for (int i = 0; i < 2; ++i)
        system->set_service_network_faults(i, {{"cut", true}});
    caller.join();
    EXPECT_EQ(response.run_outcome(), "outcome_unknown");
    EXPECT_EQ(book(1, "k").run_outcome(), "outcome_unknown");
    EXPECT_EQ(system->run_count("k"), 1);
}

TEST_F(operations_test, operation_with_duplicated_store_traffic_runs_at_most_once)
{
    deployment_plan plan;
    plan.proxied_platform = true;
    deploy(plan);
    system->set_platform_network_faults({{"duplicate", true}});
    for (int i = 0; i < 10; ++i)
    {
        auto const key = "k" + std::to_string(i);
        book(i % 3, key);
        book((i + 1) % 3, key);
        EXPECT_LE(system->run_count(key), 1) << key;
    }
}

TEST_F(operations_test, operation_cut_after_effect_is_outcome_unknown)
{
    deploy();
    set_service_faults({{"cut_after_effect", true}});
    auto const lost = book(0, "k");
    EXPECT_EQ(lost.run_outcome(), "outcome_unknown");
    set_service_faults({{"cut_after_effect", false}});

    auto const repeated = book(1, "k");

    EXPECT_EQ(repeated.reason(), "outcome_unknown");
    EXPECT_EQ(system->run_count("k"), 1);
}

// Guards against MIXED: the first half of an answer passed on and stored as the operation's answer.
TEST_F(operations_test, unframed_answer_of_service_killed_in_the_middle_is_outcome_unknown)
{
    for (std::string const type : {"text/plain", "application/json"})
    {
        deploy();
        send_unframed_answers(type, 2000);
        received_response response;
        std::thread caller([&] { response = book(0, "k"); });
        EXPECT_EQ(kill_running_services("k"), 1);
        caller.join();
        EXPECT_EQ(response.run_outcome(), "outcome_unknown") << type << response.body;
        auto const repeated = book(1, "k");
        EXPECT_EQ(repeated.run_outcome(), "outcome_unknown") << type << repeated.body;
    }
}

// Guards against MIXED: the same where another service can answer.
TEST_F(operations_test, idempotent_operation_of_service_killed_in_the_middle_runs_at_another)
{
    deploy();
    send_unframed_answers("application/json", 1000);
    received_response response;
    std::thread caller([&] { response = look_up("i", "date"); });
    EXPECT_EQ(kill_running_services("i"), 1);
    caller.join();
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(protocol::text_at(response.parsed(), "echo"), "date") << response.body;
}

// Guards against sound services whose answers are lost: a whole JSON document proves itself.
TEST_F(operations_test, unframed_json_answer_of_running_service_is_passed_on)
{
    deploy();
    send_unframed_answers("application/json", 10);
    auto const response = book(0, "k");
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(protocol::text_at(response.parsed(), "echo"), "two vans");
    EXPECT_EQ(book(1, "k").body, response.body);
}

// Guards against an end that proves nothing: nothing tells this answer from one that was cut.
TEST_F(operations_test, unframed_text_answer_is_outcome_unknown)
{
    deploy();
    send_unframed_answers("text/plain", 10);
    EXPECT_EQ(book(0, "k").run_outcome(), "outcome_unknown");
    EXPECT_EQ(book(1, "k").run_outcome(), "outcome_unknown");
    EXPECT_EQ(system->run_count("k"), 1);
}

// Guards against a status that is none, stored as the answer and passed on.
TEST_F(operations_test, operation_with_invalid_status_is_outcome_unknown)
{
    deploy();
    for (int const status : {600, 999})
    {
        set_service_faults({{"refuse_status", status}});
        auto const response = book(0, "k" + std::to_string(status));
        EXPECT_LT(response.status, 600);
        EXPECT_EQ(response.run_outcome(), "outcome_unknown") << status;
    }
}

TEST_F(operations_test, operation_not_run_by_service_leaves_key_free)
{
    deploy();
    set_service_faults({{"not_run", true}});
    auto const refused = book(0, "k");
    EXPECT_EQ(refused.run_outcome(), "not_run");
    set_service_faults({{"not_run", false}});
    EXPECT_EQ(book(1, "k").status, 200);
    EXPECT_EQ(system->run_count("k"), 1);
}

TEST_F(operations_test, operation_with_one_service_killed_runs_at_another)
{
    deploy();
    system->service(0).kill();
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(book(0, "k" + std::to_string(i)).status, 200);
}

TEST_F(operations_test, operation_with_all_services_killed_is_not_run)
{
    deploy();
    system->service(0).kill();
    system->service(1).kill();
    auto const response = book(0, "k");
    EXPECT_EQ(response.status, 502);
    EXPECT_EQ(response.run_outcome(), "not_run");
}

TEST_F(operations_test, operation_after_entry_kill_at_any_step_runs_at_most_once)
{
    for (int const kill_after_ms : {0, 5, 20, 60, 120})
    {
        deploy();
        set_service_faults({{"delay_ms", 50}});
        std::thread caller([&] { book(0, "k"); });
        std::this_thread::sleep_for(std::chrono::milliseconds{kill_after_ms});
        system->entry(0).kill();
        caller.join();

        auto const repeated = book(1, "k");

        EXPECT_LE(system->run_count("k"), 1) << kill_after_ms;
        if (repeated.status == 200)
            EXPECT_EQ(system->run_count("k"), 1) << kill_after_ms;
        else
            EXPECT_EQ(repeated.run_outcome(), "outcome_unknown") << kill_after_ms << repeated.body;
    }
}

TEST_F(operations_test, answer_after_caller_disconnect_is_stored)
{
    deploy();
    set_service_faults({{"delay_ms", 400}});
    auto headers = with_bearer_token();
    headers.emplace_back("Idempotency-Key", "k");
    call(system->entry_port(0), "POST", "/v1/services/booking/book", headers, "two vans", 100);

    auto const repeated = book(1, "k");

    EXPECT_EQ(repeated.status, 200);
    EXPECT_EQ(system->run_count("k"), 1);
}

TEST_F(operations_test, operation_without_key_after_lost_response_is_not_retried)
{
    deploy();
    set_service_faults({{"cut_after_effect", true}});
    auto const response = call(
        system->entry_port(0), "POST", "/v1/services/booking/book",
        with_bearer_token({{"X-Request-Id", "lone"}}), "two vans");
    EXPECT_EQ(response.run_outcome(), "outcome_unknown");
    EXPECT_EQ(system->run_count("lone"), 1);
}

TEST_F(operations_test, idempotent_operation_after_lost_response_is_retried_at_another_service)
{
    deploy();
    deployment::control(system->service(0), {{"cut_after_effect", true}});
    int answered = 0;
    for (int i = 0; i < 6; ++i)
        answered += book(0, "k" + std::to_string(i), "", "availability").status == 200 ? 1 : 0;
    EXPECT_EQ(answered, 6);
}

TEST_F(operations_test, store_writes_under_load_are_fewer_than_operations)
{
    deploy();
    constexpr int caller_count = 16;
    constexpr int operations_per_caller = 10;
    std::vector<std::thread> callers;
    std::atomic<int> completed{0};
    for (int c = 0; c < caller_count; ++c)
        callers.emplace_back(
            [&, c]
            {
                for (int i = 0; i < operations_per_caller; ++i)
                    completed +=
                        book(c % 3, std::to_string(c) + "-" + std::to_string(i)).status == 200;
            });
    for (auto& c : callers)
        c.join();
    EXPECT_EQ(completed, caller_count * operations_per_caller);
    auto const writes = deployment::statistic(system->platform(), "transactions");
    EXPECT_LT(writes, caller_count * operations_per_caller);
}

} // namespace
} // namespace auburnweir::tests
