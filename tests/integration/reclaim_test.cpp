#include "support/deployment.hpp"

#include <csignal>
#include <gtest/gtest.h>
#include <thread>

/// Reclaims of engines and entries, planned stops and deferrable requests.

namespace auburnweir::tests
{
namespace
{

class reclaim_test : public testing::Test
{
protected:
    void deploy(deployment_plan plan = {}) { system.emplace(std::move(plan)); }

    streamed_answer start_stream(
        int entry, std::string const& content, std::string const& id, int tokens)
    {
        return {
            system->entry_port(entry), "POST", "/v1/chat/completions",
            with_bearer_token({{"X-Request-Id", id}}), chat_body(content, tokens, true)};
    }

    received_response send_deferrable(
        int entry, std::string const& id, std::string const& content, int tokens)
    {
        auto headers = with_bearer_token({{"X-Request-Id", id}});
        headers.emplace_back("X-Priority", "deferrable");
        return call(
            system->entry_port(entry), "POST", "/v1/chat/completions", headers,
            chat_body(content, tokens, false));
    }

    bool has_expected_answer(
        int entry, std::string const& id, std::string const& content, int tokens)
    {
        auto const response =
            call(system->entry_port(entry), "GET", "/v1/requests/" + id, with_bearer_token());
        return response.status == 200 && response.parsed()["choices"][0]["message"]["content"] ==
                                             expected_answer(content, tokens);
    }

    /// Number of generations that an engine has started.
    std::int64_t started_count(int engine)
    {
        return deployment::statistic(system->engine(engine), "started");
    }

    /// Index of an engine that runs a stream; -1 when none does.
    int busy_engine()
    {
        for (int i = 0; i < system->engines(); ++i)
            if (deployment::statistic(system->engine(i), "running") > 0)
                return i;
        return -1;
    }

    std::optional<deployment> system;
};

TEST_F(reclaim_test, engine_after_reclaim_notice_gets_no_requests_after_two_seconds)
{
    deploy();
    system->announce_reclaim("engine-1", 60000);
    std::this_thread::sleep_for(std::chrono::seconds{2});
    auto const before = started_count(0);

    for (int i = 0; i < 18; ++i)
        start_stream(i % 3, "hello", "r" + std::to_string(i), 3).read_to_end();

    EXPECT_EQ(started_count(0), before);
}

TEST_F(reclaim_test, leaving_engine_gets_no_requests_from_any_entry)
{
    deploy();
    deployment::control(system->engine(0), {{"leaving", true}});
    std::this_thread::sleep_for(std::chrono::seconds{2});

    int complete_count = 0;
    for (int i = 0; i < 12; ++i)
    {
        auto answer = start_stream(i % 3, "hello", "r" + std::to_string(i), 5);
        answer.read_to_end();
        complete_count += answer.text() == expected_answer("hello", 5) ? 1 : 0;
    }

    EXPECT_EQ(complete_count, 12);
    EXPECT_EQ(started_count(0), 0);
}

TEST_F(reclaim_test, long_stream_on_announced_engine_moves_and_is_complete)
{
    deployment_plan plan;
    plan.token_us = 20000;
    deploy(plan);
    for (int i = 0; i < 3; ++i)
        deployment::control(system->engine(i), {{"prefill_rate", 4000}});
    // The prefill rate makes a replay expensive; entries learn it from the engines' load reports,
    // which arrive one engine at a time.
    std::this_thread::sleep_for(std::chrono::milliseconds{2500});
    std::string const content(6000, 'x');
    auto answer = start_stream(0, content, "r1", 200);
    answer.read_tokens(10);
    auto const leaving_engine = busy_engine();
    system->announce_reclaim("engine-" + std::to_string(leaving_engine + 1), 1500);
    std::thread reclaim(
        [&]
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{1500});
            system->engine(leaving_engine).kill();
        });

    answer.read_to_end();
    reclaim.join();

    EXPECT_EQ(answer.text(), expected_answer(content, 200));
    EXPECT_GE(system->counter(0, "auburnweir_retries_total{reason=\"backend_leaving\"}"), 1);
    EXPECT_EQ(system->counter(0, "auburnweir_retries_total{reason=\"stream_cut\"}"), 0);
    EXPECT_EQ(system->engine_statistic_total("imported"), 1);
}

TEST_F(reclaim_test, short_stream_on_announced_engine_finishes_there)
{
    deployment_plan plan;
    plan.token_us = 20000;
    deploy(plan);
    auto answer = start_stream(0, "hello", "r1", 60);
    answer.read_tokens(5);
    system->announce_reclaim("engine-" + std::to_string(busy_engine() + 1), 30000);

    answer.read_to_end();

    EXPECT_EQ(answer.text(), expected_answer("hello", 60));
    EXPECT_EQ(system->engine_statistic_total("started"), 1);
    EXPECT_GE(system->counter(0, "auburnweir_streams_continued_total"), 1);
}

TEST_F(reclaim_test, accepted_requests_after_failure_domain_kill_complete)
{
    deployment_plan plan;
    plan.engines = 6;
    plan.backend_concurrency = "32";
    plan.token_us = 8000;
    deploy(plan);
    std::vector<streamed_answer> answers;
    answers.reserve(9);
    for (int i = 0; i < 9; ++i)
    {
        answers.push_back(
            start_stream(i % 3, "caller " + std::to_string(i), "r" + std::to_string(i), 150));
        answers.back().read_tokens(3);
    }
    system->entry(0).kill();
    system->engine(0).kill();
    system->engine(3).kill();

    for (int i = 0; i < 9; ++i)
    {
        answers[i].read_to_end();
        auto text = answers[i].text();
        if (!answers[i].finished())
        {
            streamed_answer resumed(
                system->entry_port(1 + i % 2), "GET", "/v1/requests/r" + std::to_string(i),
                with_bearer_token({{"Last-Event-ID", answers[i].last_event_id()}}), "");
            resumed.read_to_end();
            text += resumed.text();
        }
        EXPECT_EQ(text, expected_answer("caller " + std::to_string(i), 150)) << i;
    }
}

TEST_F(reclaim_test, entry_after_sigterm_finishes_streams_and_is_not_ready)
{
    deployment_plan plan;
    plan.token_us = 10000;
    deploy(plan);
    auto answer = start_stream(0, "hello", "r1", 100);
    answer.read_tokens(10);
    system->entry(0).signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds{30});
    EXPECT_EQ(call(system->entry_port(0), "GET", "/ready").status, 503);

    answer.read_to_end();

    EXPECT_EQ(answer.text(), expected_answer("hello", 100));
    EXPECT_TRUE(answer.finished());
    EXPECT_EQ(system->entry(0).wait_for_exit(5000), 0);
}

TEST_F(reclaim_test, request_on_open_connection_after_sigterm_is_refused_as_not_run)
{
    deployment_plan plan;
    plan.token_us = 20000;
    deploy(plan);
    auto answer = start_stream(0, "hello", "r1", 100);
    answer.read_tokens(1);
    caller_session session;
    EXPECT_EQ(session.call(system->entry_port(0), "GET", "/ready").status, 200);
    system->entry(0).signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds{500});

    auto const response = session.call(
        system->entry_port(0), "POST", "/v1/services/booking/book", with_bearer_token(),
        "two vans");

    EXPECT_EQ(response.reason(), "stopping");
    EXPECT_EQ(response.run_outcome(), "not_run");
    answer.read_to_end();
    EXPECT_EQ(answer.text(), expected_answer("hello", 100));
}

TEST_F(reclaim_test, entry_after_reclaim_notice_hands_over_its_requests)
{
    deployment_plan plan;
    plan.token_us = 20000;
    deploy(plan);
    auto answer = start_stream(0, "hello", "r1", 250);
    answer.read_tokens(10);
    system->announce_reclaim("entry-1", 2000);
    answer.read_to_end();
    ASSERT_FALSE(answer.finished());

    streamed_answer resumed(
        system->entry_port(1), "GET", "/v1/requests/r1",
        with_bearer_token({{"Last-Event-ID", answer.last_event_id()}}), "");
    resumed.read_to_end();

    EXPECT_EQ(answer.text() + resumed.text(), expected_answer("hello", 250));
    EXPECT_EQ(system->entry(0).wait_for_exit(5000), 0);
}

TEST_F(reclaim_test, deferrable_request_is_stored_and_answered)
{
    deploy();
    auto const accepted = send_deferrable(0, "audit", "salinity", 40);
    EXPECT_EQ(accepted.status, 202);
    EXPECT_EQ(accepted.header("Location"), "/v1/requests/audit");
    EXPECT_TRUE(eventually([&] { return has_expected_answer(1, "audit", "salinity", 40); }));
    EXPECT_EQ(system->counter_sum("auburnweir_reviews_completed_total"), 1);
}

TEST_F(reclaim_test, deferrable_request_after_runner_kill_is_answered)
{
    deployment_plan plan;
    plan.token_us = 30000;
    deploy(plan);
    EXPECT_EQ(send_deferrable(0, "audit", "salinity", 100).status, 202);
    auto const find_runner = [&]
    {
        for (int i = 0; i < 3; ++i)
            if (system->counter(i, "auburnweir_reviews_claimed_total") > 0)
                return i;
        return -1;
    };
    ASSERT_TRUE(eventually([&] { return find_runner() >= 0; }));
    auto const killed = find_runner();
    system->entry(killed).kill();

    EXPECT_TRUE(eventually(
        [&] { return has_expected_answer((killed + 1) % 3, "audit", "salinity", 100); }, 40000))
        << "entry " << killed + 1 << " was killed";
}

TEST_F(reclaim_test, deferrable_request_during_platform_outage_is_refused)
{
    deploy();
    deployment::control(system->platform(), {{"down", true}});
    auto const response = send_deferrable(0, "audit", "salinity", 40);
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(response.run_outcome(), "not_run");
}

TEST_F(reclaim_test, retries_with_half_of_engines_failing_stay_within_budget)
{
    deployment_plan plan;
    plan.engines = 4;
    plan.token_us = 1000;
    deploy(plan);
    for (int i = 0; i < 2; ++i)
        deployment::control(system->engine(i), {{"refuse_status", 500}});
    constexpr int requests = 300;
    for (int i = 0; i < requests; ++i)
        start_stream(i % 3, "hello", "r" + std::to_string(i), 2).read_to_end();

    auto const attempts = system->counter_sum("auburnweir_backend_attempts_total");
    constexpr double budget_share = 0.1;
    constexpr double retry_reserve_of_three_entries = 30;
    EXPECT_LE(attempts, requests * (1 + budget_share) + retry_reserve_of_three_entries);
}

TEST_F(reclaim_test, chat_during_platform_outage_completes)
{
    deploy();
    deployment::control(system->platform(), {{"down", true}});
    std::this_thread::sleep_for(std::chrono::milliseconds{500});
    auto answer = start_stream(0, "hello", "r1", 50);
    answer.read_to_end();
    EXPECT_EQ(answer.text(), expected_answer("hello", 50));
}

} // namespace
} // namespace auburnweir::tests
