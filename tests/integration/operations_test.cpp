#include "support/deployment.hpp"

#include <csignal>
#include <gtest/gtest.h>
#include <thread>

/// At-most-once operations under lost answers, outages, races and deaths.

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

    void service_fault(json const& fault)
    {
        for (int i = 0; i < 2; ++i)
            deployment::control(system->service(i), fault);
    }

    std::optional<deployment> system;
};

TEST_F(operations_test, repeated_key_runs_once_with_the_same_answer)
{
    deploy();
    auto const first = book(0, "k");
    auto const second = book(1, "k");
    EXPECT_EQ(first.status, 200);
    EXPECT_EQ(second.body, first.body);
    EXPECT_EQ(second.header("Idempotency-Replayed"), "true");
    EXPECT_EQ(system->runs("k"), 1);
}

TEST_F(operations_test, key_given_to_all_entries_at_once_runs_once)
{
    deploy();
    service_fault({{"delay_ms", 100}});
    std::vector<std::thread> callers;
    std::atomic<int> same{0};
    for (int i = 0; i < 12; ++i)
        callers.emplace_back(
            [&, i]
            {
                auto const reply = book(i % 3, "k");
                same += protocol::integer_at(reply.parsed(), "run") == 1 ? 1 : 0;
            });
    for (auto& c : callers)
        c.join();
    EXPECT_EQ(same, 12);
    EXPECT_EQ(system->runs("k"), 1);
}

TEST_F(operations_test, key_with_another_body_is_refused)
{
    deploy();
    book(0, "k", "two vans");
    auto const reply = book(1, "k", "three vans");
    EXPECT_EQ(reply.status, 422);
    EXPECT_EQ(reply.reason(), "key_reused");
    EXPECT_EQ(reply.run(), "not_run");
    EXPECT_EQ(system->runs("k"), 1);
}

TEST_F(operations_test, lost_write_answers_are_settled_by_reading)
{
    deploy();
    for (int losses = 1; losses <= 3; ++losses)
    {
        auto const key = "k" + std::to_string(losses);
        deployment::control(system->platform(), {{"lose_answers", losses}});
        EXPECT_EQ(book(0, key).status, 200) << key;
        EXPECT_EQ(book(1, key).status, 200) << key;
        EXPECT_EQ(system->runs(key), 1) << key;
    }
}

TEST_F(operations_test, store_down_refuses_as_not_run_and_the_key_works_later)
{
    deploy();
    deployment::control(system->platform(), {{"down", true}});
    auto const refused = book(0, "k");
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.reason(), "store_unavailable");
    EXPECT_EQ(refused.run(), "not_run");
    EXPECT_FALSE(refused.header("Retry-After").empty());
    EXPECT_EQ(system->runs("k"), 0);

    deployment::control(system->platform(), {{"down", false}});
    EXPECT_EQ(book(0, "k").status, 200);
    EXPECT_EQ(system->runs("k"), 1);
}

TEST_F(operations_test, store_that_loses_all_answers_refuses_and_frees_the_key)
{
    deployment_plan plan;
    plan.proxied_platform = true;
    plan.entry_settings["store_timeout_ms"] = "200";
    deploy(plan);
    system->platform_network({{"lose_answers", true}});
    auto const refused = book(0, "k");
    EXPECT_EQ(refused.run(), "not_run");
    EXPECT_EQ(system->runs("k"), 0);

    system->platform_network({{"lose_answers", false}});
    EXPECT_TRUE(eventually([&] { return book(1, "k").status == 200; }));
    EXPECT_EQ(system->runs("k"), 1);
}

TEST_F(operations_test, store_that_freezes_in_the_middle_never_doubles)
{
    deployment_plan plan;
    plan.proxied_platform = true;
    plan.entry_settings["store_timeout_ms"] = "200";
    deploy(plan);
    service_fault({{"delay_ms", 300}});
    std::thread caller([&] { book(0, "k"); });
    eventually([&] { return system->runs("k") == 1; });
    system->platform_network({{"freeze", true}});
    caller.join();
    system->platform_network({{"freeze", false}});

    EXPECT_TRUE(eventually([&] { return book(1, "k").status == 200; }));
    EXPECT_EQ(system->runs("k"), 1);
}

TEST_F(operations_test, slow_store_and_slow_service_still_answer_once)
{
    deployment_plan plan;
    plan.proxied_platform = true;
    plan.proxied_services = true;
    deploy(plan);
    system->platform_network({{"delay_ms", 60}});
    for (int i = 0; i < 2; ++i)
        system->service_network(i, {{"delay_ms", 80}});
    EXPECT_EQ(book(0, "k").status, 200);
    EXPECT_EQ(book(1, "k").header("Idempotency-Replayed"), "true");
    EXPECT_EQ(system->runs("k"), 1);
}

TEST_F(operations_test, service_connection_cut_in_the_middle_is_outcome_unknown)
{
    deployment_plan plan;
    plan.proxied_services = true;
    deploy(plan);
    service_fault({{"delay_ms", 400}});
    received_response reply;
    std::thread caller([&] { reply = book(0, "k"); });
    eventually([&] { return system->runs("k") == 1; });
    for (int i = 0; i < 2; ++i)
        system->service_network(i, {{"cut", true}});
    caller.join();
    EXPECT_EQ(reply.run(), "outcome_unknown");
    EXPECT_EQ(book(1, "k").run(), "outcome_unknown");
    EXPECT_EQ(system->runs("k"), 1);
}

TEST_F(operations_test, duplicated_store_traffic_never_doubles)
{
    deployment_plan plan;
    plan.proxied_platform = true;
    deploy(plan);
    system->platform_network({{"duplicate", true}});
    for (int i = 0; i < 10; ++i)
    {
        auto const key = "k" + std::to_string(i);
        book(i % 3, key);
        book((i + 1) % 3, key);
        EXPECT_LE(system->runs(key), 1) << key;
    }
}

TEST_F(operations_test, service_that_dies_after_the_effect_leaves_outcome_unknown)
{
    deploy();
    service_fault({{"cut_after_effect", true}});
    auto const lost = book(0, "k");
    EXPECT_EQ(lost.run(), "outcome_unknown");
    service_fault({{"cut_after_effect", false}});

    auto const again = book(1, "k");

    EXPECT_EQ(again.reason(), "outcome_unknown");
    EXPECT_EQ(system->runs("k"), 1);
}

TEST_F(operations_test, service_that_proves_not_run_leaves_the_key_free)
{
    deploy();
    service_fault({{"not_run", true}});
    auto const refused = book(0, "k");
    EXPECT_EQ(refused.run(), "not_run");
    service_fault({{"not_run", false}});
    EXPECT_EQ(book(1, "k").status, 200);
    EXPECT_EQ(system->runs("k"), 1);
}

TEST_F(operations_test, dead_service_is_passed_over)
{
    deploy();
    system->service(0).kill();
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(book(0, "k" + std::to_string(i)).status, 200);
}

TEST_F(operations_test, all_services_dead_is_not_run)
{
    deploy();
    system->service(0).kill();
    system->service(1).kill();
    auto const reply = book(0, "k");
    EXPECT_EQ(reply.status, 502);
    EXPECT_EQ(reply.run(), "not_run");
}

TEST_F(operations_test, entry_killed_at_any_step_never_doubles)
{
    for (int const kill_after_ms : {0, 5, 20, 60, 120})
    {
        deploy();
        service_fault({{"delay_ms", 50}});
        std::thread caller([&] { book(0, "k"); });
        std::this_thread::sleep_for(std::chrono::milliseconds{kill_after_ms});
        system->entry(0).kill();
        caller.join();

        auto const again = book(1, "k");

        EXPECT_LE(system->runs("k"), 1) << kill_after_ms;
        if (again.status == 200)
            EXPECT_EQ(system->runs("k"), 1) << kill_after_ms;
        else
            EXPECT_EQ(again.run(), "outcome_unknown") << kill_after_ms << again.body;
    }
}

TEST_F(operations_test, answer_that_comes_after_the_caller_left_is_kept)
{
    deploy();
    service_fault({{"delay_ms", 400}});
    auto headers = with_bearer_token();
    headers.emplace_back("Idempotency-Key", "k");
    call(system->entry_port(0), "POST", "/v1/services/booking/book", headers, "two vans", 100);

    auto const again = book(1, "k");

    EXPECT_EQ(again.status, 200);
    EXPECT_EQ(system->runs("k"), 1);
}

TEST_F(operations_test, lost_operation_without_a_key_is_never_sent_again)
{
    deploy();
    service_fault({{"cut_after_effect", true}});
    auto const reply = call(
        system->entry_port(0), "POST", "/v1/services/booking/book",
        with_bearer_token({{"X-Request-Id", "lone"}}), "two vans");
    EXPECT_EQ(reply.run(), "outcome_unknown");
    EXPECT_EQ(system->runs("lone"), 1);
}

TEST_F(operations_test, idempotent_operation_is_repeated_at_another_service)
{
    deploy();
    deployment::control(system->service(0), {{"cut_after_effect", true}});
    int answered = 0;
    for (int i = 0; i < 6; ++i)
        answered += book(0, "k" + std::to_string(i), "", "availability").status == 200 ? 1 : 0;
    EXPECT_EQ(answered, 6);
}

TEST_F(operations_test, grouped_writes_stay_under_one_per_operation_under_load)
{
    deploy();
    constexpr int callers_count = 16;
    constexpr int each = 10;
    std::vector<std::thread> callers;
    std::atomic<int> done{0};
    for (int c = 0; c < callers_count; ++c)
        callers.emplace_back(
            [&, c]
            {
                for (int i = 0; i < each; ++i)
                    done += book(c % 3, std::to_string(c) + "-" + std::to_string(i)).status == 200;
            });
    for (auto& c : callers)
        c.join();
    EXPECT_EQ(done, callers_count * each);
    auto const writes = deployment::statistic(system->platform(), "transactions");
    EXPECT_LT(writes, callers_count * each);
}

} // namespace
} // namespace auburnweir::tests
