#include "support/deployment.hpp"

#include <csignal>
#include <gtest/gtest.h>
#include <thread>

/// Answers stay complete when engines or entry instances fail.

namespace auburnweir::tests
{
namespace
{

constexpr int answer_tokens = 150;

class answers_test : public testing::Test
{
protected:
    void deploy(deployment_plan plan = {}) { system.emplace(std::move(plan)); }

    streamed_answer start_stream(int entry, std::string const& content, std::string const& id)
    {
        return {
            system->entry_port(entry), "POST", "/v1/chat/completions",
            with_bearer_token({{"X-Request-Id", id}}), chat_body(content, answer_tokens, true)};
    }

    streamed_answer resume_stream(int entry, std::string const& id, std::string const& last_event)
    {
        header_list headers = with_bearer_token();
        if (!last_event.empty())
            headers.emplace_back("Last-Event-ID", last_event);
        return {system->entry_port(entry), "GET", "/v1/requests/" + id, headers, ""};
    }

    /// Index of an engine that runs a stream; -1 when none does.
    int busy_engine()
    {
        for (int i = 0; i < system->engines(); ++i)
            if (system->engine(i).pid() > 0 &&
                deployment::statistic(system->engine(i), "running") > 0)
                return i;
        return -1;
    }

    static std::string expected(std::string const& content)
    {
        return expected_answer(content, answer_tokens);
    }

    std::optional<deployment> system;
};

// Guards against a false "not run": an engine works on a chat that fails before its first token.
TEST_F(answers_test, chat_that_fails_without_tokens_at_a_working_engine_is_of_unknown_outcome)
{
    deploy();
    for (int i = 0; i < system->engines(); ++i)
        deployment::control(system->engine(i), {{"stall_after", 0}});
    auto headers = with_bearer_token({{"X-Request-Id", "r1"}});
    headers.emplace_back("X-Deadline-Ms", "800");
    auto const response = call(
        system->entry_port(0), "POST", "/v1/chat/completions", headers,
        chat_body("hello", answer_tokens, false));
    std::int64_t started = 0;
    for (int i = 0; i < system->engines(); ++i)
        started += deployment::statistic(system->engine(i), "started");
    EXPECT_GT(started, 0);
    EXPECT_EQ(response.run_outcome(), "outcome_unknown") << response.body;
}

// Guards against a status that is none, taken for an answer of the engine.
TEST_F(answers_test, chat_with_invalid_status_of_one_engine_is_answered_by_another)
{
    deploy();
    deployment::control(system->engine(0), {{"refuse_status", 999}});
    for (int i = 0; i < 6; ++i)
    {
        auto const response = call(
            system->entry_port(0), "POST", "/v1/chat/completions",
            with_bearer_token({{"X-Request-Id", "s" + std::to_string(i)}}),
            chat_body("hello " + std::to_string(i), answer_tokens, false));
        EXPECT_EQ(response.status, 200) << response.body;
    }
}

// Guards against MIXED: a second copy of a chat's answer, ahead of the connection's next answer.
TEST_F(answers_test, chat_after_repeated_answer_gets_its_own)
{
    deploy();
    for (int i = 0; i < system->engines(); ++i)
        deployment::control(system->engine(i), {{"repeat_answers", true}, {"token_us", 0}});
    for (int i = 0; i < 8; ++i)
    {
        auto const content = "question " + std::to_string(i);
        auto answer = start_stream(0, content, "r" + std::to_string(i));
        answer.read_to_end();
        EXPECT_EQ(answer.text(), expected(content));
    }
}

// Guards against a refusal of a chat that runs: a copy of the status of another call of the engine.
TEST_F(answers_test, chat_after_repeated_status_of_a_poll_gets_its_own_answer)
{
    deployment_plan plan;
    plan.engines = 1;
    plan.entry_settings["workers"] = "1";
    deploy(plan);
    deployment::control(
        system->engine(0), {{"repeat_answers", true}, {"reports_status", false}, {"token_us", 0}});
    for (int i = 0; i < 4; ++i)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{700}); // for another poll
        auto const content = "question " + std::to_string(i);
        auto answer = start_stream(0, content, "r" + std::to_string(i));
        answer.read_to_end();
        EXPECT_EQ(answer.status(), 200);
        EXPECT_EQ(answer.text(), expected(content));
    }
}

TEST_F(answers_test, stream_without_faults_is_complete)
{
    deploy();
    auto answer = start_stream(0, "hello", "r1");
    answer.read_to_end();
    EXPECT_EQ(answer.status(), 200);
    EXPECT_EQ(answer.text(), expected("hello"));
    EXPECT_EQ(answer.finish_reason(), "length");
}

TEST_F(answers_test, answer_without_streaming_is_complete)
{
    deploy();
    auto const response = call(
        system->entry_port(0), "POST", "/v1/chat/completions", with_bearer_token(),
        chat_body("hello", answer_tokens, false));
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.parsed()["choices"][0]["message"]["content"], expected("hello"));
    EXPECT_EQ(response.parsed()["usage"]["completion_tokens"], answer_tokens);
}

TEST_F(answers_test, concurrent_streams_are_not_mixed)
{
    deploy();
    std::vector<std::thread> callers;
    std::atomic<int> complete_count{0};
    for (int i = 0; i < 24; ++i)
        callers.emplace_back(
            [&, i]
            {
                auto const content = "caller " + std::to_string(i);
                auto answer = start_stream(i % 3, content, "r" + std::to_string(i));
                answer.read_to_end();
                complete_count += answer.text() == expected(content) ? 1 : 0;
            });
    for (auto& c : callers)
        c.join();
    EXPECT_EQ(complete_count, 24);
    EXPECT_EQ(system->engine_statistic_total("refused_continuations"), 0);
}

TEST_F(answers_test, answer_after_engine_kill_is_complete)
{
    deploy();
    auto answer = start_stream(0, "hello", "r1");
    answer.read_tokens(20);
    system->engine(busy_engine()).kill();

    answer.read_to_end();

    EXPECT_EQ(answer.text(), expected("hello"));
    EXPECT_GE(system->counter(0, "auburnweir_streams_replayed_total"), 1);
    EXPECT_GT(system->counter(0, "auburnweir_tokens_recomputed_total"), 0);
}

TEST_F(answers_test, answer_after_engine_freeze_is_complete)
{
    deployment_plan plan;
    plan.entry_settings["stall_timeout_ms"] = "500";
    deploy(plan);
    auto answer = start_stream(0, "hello", "r1");
    answer.read_tokens(20);
    auto const frozen = busy_engine();
    system->engine(frozen).signal(SIGSTOP);

    answer.read_to_end();

    EXPECT_EQ(answer.text(), expected("hello"));
    system->engine(frozen).signal(SIGCONT);
    EXPECT_GE(system->counter(0, "auburnweir_retries_total{reason=\"stream_stalled\"}"), 1);
}

TEST_F(answers_test, answer_after_half_open_engine_connection_is_complete)
{
    deployment_plan plan;
    plan.proxied_engines = true;
    plan.entry_settings["stall_timeout_ms"] = "500";
    deploy(plan);
    auto answer = start_stream(0, "hello", "r1");
    answer.read_tokens(20);
    auto const frozen = busy_engine();
    system->set_engine_network_faults(frozen, {{"freeze", true}});

    answer.read_to_end();

    EXPECT_EQ(answer.text(), expected("hello"));
}

TEST_F(answers_test, answer_after_repeated_engine_connection_cuts_is_complete)
{
    deployment_plan plan;
    plan.proxied_engines = true;
    deploy(plan);
    auto answer = start_stream(0, "hello", "r1");
    for (std::size_t tokens = 20; tokens <= 80; tokens += 20)
    {
        answer.read_tokens(tokens);
        for (int i = 0; i < 3; ++i)
            system->set_engine_network_faults(i, {{"cut", true}});
    }
    answer.read_to_end();
    EXPECT_EQ(answer.text(), expected("hello"));
    EXPECT_EQ(system->engine_statistic_total("refused_continuations"), 0);
}

// Guards against ORDER: a body in good form that ends inside an event taken for the whole answer.
TEST_F(answers_test, answer_of_engines_that_end_their_streams_inside_an_event_is_complete)
{
    deploy();
    for (int i = 0; i < system->engines(); ++i)
        deployment::control(system->engine(i), {{"tear_after", 60}});
    auto answer = start_stream(0, "hello", "r1");
    answer.read_to_end();
    EXPECT_EQ(answer.text(), expected("hello"));
    EXPECT_TRUE(answer.finished());
    EXPECT_EQ(answer.finish_reason(), "length");
    EXPECT_GE(system->counter(0, "auburnweir_retries_total{reason=\"stream_cut\"}"), 2);
}

// Guards against ORDER: an answer that nobody can complete ends as a complete body.
TEST_F(answers_test, stream_that_fails_after_its_first_tokens_stays_incomplete)
{
    deployment_plan plan;
    plan.token_us = 20000;
    deploy(plan);
    streamed_answer answer(
        system->entry_port(0), "POST", "/v1/chat/completions",
        with_bearer_token({{"X-Request-Id", "r1"}, {"X-Deadline-Ms", "500"}}),
        chat_body("hello", answer_tokens, true));
    answer.read_to_end();
    EXPECT_EQ(answer.status(), 200);
    EXPECT_GT(answer.tokens(), 0U);
    EXPECT_EQ(answer.finish_reason(), "failed");
    EXPECT_FALSE(answer.finished());
    EXPECT_FALSE(answer.is_complete());

    auto fetched = resume_stream(0, "r1", "");
    fetched.read_to_end();
    EXPECT_EQ(fetched.text(), answer.text());
    EXPECT_FALSE(fetched.is_complete());
}

TEST_F(answers_test, answers_after_kill_of_all_engines_in_domain_are_complete)
{
    deployment_plan plan;
    plan.engines = 6;
    plan.backend_concurrency = "32";
    deploy(plan);
    std::vector<streamed_answer> answers;
    answers.reserve(12);
    for (int i = 0; i < 12; ++i)
    {
        answers.push_back(
            start_stream(i % 3, "caller " + std::to_string(i), "r" + std::to_string(i)));
        answers.back().read_tokens(5);
    }
    system->engine(0).kill();
    system->engine(3).kill();

    for (int i = 0; i < 12; ++i)
    {
        answers[i].read_to_end();
        EXPECT_EQ(answers[i].text(), expected("caller " + std::to_string(i)));
    }
}

TEST_F(answers_test, stream_after_entry_kill_resumes_at_another_entry)
{
    deploy();
    auto answer = start_stream(0, "hello", "r1");
    answer.read_tokens(20);
    system->entry(0).kill();
    answer.read_to_end();
    ASSERT_FALSE(answer.finished());

    auto resumed = resume_stream(2, "r1", answer.last_event_id());
    resumed.read_to_end();

    EXPECT_EQ(resumed.status(), 200);
    EXPECT_EQ(answer.text() + resumed.text(), expected("hello"));
    EXPECT_TRUE(resumed.finished());
}

TEST_F(answers_test, answer_after_entry_kill_without_reader_is_complete)
{
    deploy();
    auto answer = start_stream(0, "hello", "r1");
    answer.read_tokens(20);
    system->entry(0).kill();

    EXPECT_TRUE(eventually(
        [&]
        {
            auto const response =
                call(system->entry_port(1), "GET", "/v1/requests/r1", with_bearer_token());
            return response.status == 200 &&
                   response.parsed()["choices"][0]["message"]["content"] == expected("hello");
        }));
    EXPECT_EQ(
        system->counter(1, "auburnweir_journals_adopted_total") +
            system->counter(2, "auburnweir_journals_adopted_total"),
        1);
}

TEST_F(answers_test, stream_of_frozen_entry_after_adoption_is_prefix_of_answer)
{
    deploy();
    auto answer = start_stream(0, "hello", "r1");
    answer.read_tokens(20);
    auto const text_before_freeze = answer.text();
    system->entry(0).signal(SIGSTOP);
    auto resumed = resume_stream(1, "r1", answer.last_event_id());
    resumed.read_to_end();
    system->entry(0).signal(SIGCONT);

    EXPECT_EQ(text_before_freeze + resumed.text(), expected("hello"));
    answer.read_to_end();
    EXPECT_TRUE(expected("hello").rfind(answer.text(), 0) == 0);
}

TEST_F(answers_test, finished_stream_fetched_at_any_entry_is_same)
{
    deploy();
    start_stream(0, "hello", "r1").read_to_end();
    for (int i = 0; i < 3; ++i)
    {
        auto fetched = resume_stream(i, "r1", "");
        fetched.read_to_end();
        EXPECT_EQ(fetched.text(), expected("hello")) << "entry " << i;
    }
}

TEST_F(answers_test, resume_with_unknown_generation_is_refused)
{
    deploy();
    start_stream(0, "hello", "r1").read_to_end();
    auto const response = call(
        system->entry_port(0), "GET", "/v1/requests/r1",
        with_bearer_token({{"Last-Event-ID", "ffffffff.9"}}));
    EXPECT_EQ(response.status, 409);
    EXPECT_EQ(response.reason(), "resume_point_unknown");
}

TEST_F(answers_test, request_with_id_in_use_is_refused)
{
    deploy();
    start_stream(0, "hello", "r1").read_to_end();
    auto const response = call(
        system->entry_port(0), "POST", "/v1/chat/completions",
        with_bearer_token({{"X-Request-Id", "r1"}}), chat_body("other", 5, false));
    EXPECT_EQ(response.reason(), "request_id_in_use");
}

TEST_F(answers_test, stream_abandoned_by_caller_is_cancelled_at_engine)
{
    deployment_plan plan;
    plan.entry_settings["abandon_after_ms"] = "300";
    plan.token_us = 20000;
    deploy(plan);
    auto answer = start_stream(0, "hello", "r1");
    answer.read_tokens(5);
    answer.disconnect();

    EXPECT_TRUE(eventually([&] { return system->engine_statistic_total("cancelled") == 1; }));
    EXPECT_LT(system->engine_statistic_total("tokens"), answer_tokens);
}

TEST_F(answers_test, slow_caller_limits_engine_output)
{
    deployment_plan plan;
    plan.token_us = 0;
    deploy(plan);
    constexpr int max_tokens = 200000;
    streamed_answer answer(
        system->entry_port(0), "POST", "/v1/chat/completions",
        with_bearer_token({{"X-Request-Id", "r1"}}), chat_body("hello", max_tokens, true));
    answer.read_tokens(1);
    std::this_thread::sleep_for(std::chrono::seconds{1});

    EXPECT_LT(system->engine_statistic_total("tokens"), max_tokens);
    EXPECT_EQ(system->engine_statistic_total("finished"), 0);
}

TEST_F(answers_test, answer_beyond_deadline_ends_with_deadline_exceeded)
{
    deployment_plan plan;
    plan.token_us = 50000;
    deploy(plan);
    auto const response = call(
        system->entry_port(0), "POST", "/v1/chat/completions",
        with_bearer_token({{"X-Deadline-Ms", "300"}}), chat_body("hello", answer_tokens, false));
    EXPECT_EQ(response.status, 504);
    EXPECT_EQ(response.reason(), "deadline_exceeded");
    EXPECT_TRUE(eventually([&] { return system->engine_statistic_total("running") == 0; }));
}

} // namespace
} // namespace auburnweir::tests
