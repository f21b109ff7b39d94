#include "support/deployment.hpp"
#include "support/http10_caller.hpp"

#include <csignal>
#include <gtest/gtest.h>

namespace auburnweir::tests
{
namespace
{

constexpr int answer_tokens = 150;

/// Entry instances before engines, and callers with HTTP/1.0.
class answers_http10_test : public testing::Test
{
protected:
    static deployment_plan plan()
    {
        deployment_plan p;
        p.token_us = 20000;
        // End in the middle of each stream that has begun when the entry is told to stop.
        p.entry_settings = {{"readiness_delay_ms", "100"}, {"drain_limit_ms", "300"}};
        return p;
    }

    static void send(http10_caller& caller, bool streamed, header_list more_headers = {})
    {
        more_headers.emplace_back("X-Request-Id", request_id);
        more_headers.emplace_back("Host", "entry.test");
        caller.send(
            "POST", "/v1/chat/completions", with_bearer_token(std::move(more_headers)),
            chat_body("hello", answer_tokens, streamed));
    }

    static void begin_stream(http10_caller& caller)
    {
        send(caller, true);
        ASSERT_TRUE(caller.read_body(1));
        ASSERT_EQ(caller.status(), 200);
    }

    static void expect_broken_off_stream(http10_caller& caller)
    {
        EXPECT_EQ(caller.read_to_end(), connection_end::reset);
        EXPECT_EQ(caller.status(), 200);
        EXPECT_NE(caller.body(), "");
        EXPECT_EQ(caller.body().find("[DONE]"), std::string::npos);
    }

    static constexpr char const* request_id = "r1";

    deployment system{plan()};
};

// Guards against MIXED: the sizes of chunks taken for bytes of the stream.
TEST_F(answers_http10_test, stream_without_faults_is_plain_and_ends_in_order)
{
    http10_caller caller(system.entry_port(0));
    begin_stream(caller);
    EXPECT_EQ(caller.read_to_end(), connection_end::orderly);
    EXPECT_EQ(caller.header("Transfer-Encoding"), "");
    // The same answer once more, as a caller with HTTP/1.1 gets it.
    streamed_answer again(
        system.entry_port(0), "GET", std::string{"/v1/requests/"} + request_id, with_bearer_token(),
        "");
    again.read_bytes(SIZE_MAX); // to the end of the body, beyond the last event
    ASSERT_TRUE(again.is_complete());
    EXPECT_EQ(again.text(), expected_answer("hello", answer_tokens));
    EXPECT_EQ(caller.body(), again.body());
}

// Guards against ORDER: an answer that nobody can complete looks complete.
TEST_F(answers_http10_test, stream_that_fails_ends_with_reset)
{
    http10_caller caller(system.entry_port(0));
    send(caller, true, {{"X-Deadline-Ms", "500"}});
    expect_broken_off_stream(caller);
}

// Guards against ORDER: the FIN of a dead entry's kernel taken for the end of the stream.
TEST_F(answers_http10_test, stream_of_killed_entry_ends_with_reset)
{
    http10_caller caller(system.entry_port(0));
    begin_stream(caller);
    system.entry(0).kill();
    expect_broken_off_stream(caller);
}

// Guards against ORDER: a stream that outlasts its entry's stop looks complete.
TEST_F(answers_http10_test, stream_of_entry_that_stops_ends_with_reset)
{
    http10_caller caller(system.entry_port(0));
    begin_stream(caller);
    system.entry(0).signal(SIGTERM);
    expect_broken_off_stream(caller);
}

// Guards against MIXED: a whole answer whose end a caller with HTTP/1.0 can't know.
TEST_F(answers_http10_test, answer_without_streaming_has_its_length)
{
    http10_caller caller(system.entry_port(0));
    send(caller, false);
    ASSERT_TRUE(caller.read_response_with_length());
    EXPECT_EQ(caller.status(), 200);
    EXPECT_NE(caller.header("Connection"), "keep-alive");
    EXPECT_EQ(caller.read_to_end(), connection_end::orderly);
}

// Guards against a connection that is closed, or seems to be, although its caller asks for more.
TEST_F(answers_http10_test, connection_that_is_to_be_kept_serves_further_requests)
{
    http10_caller caller(system.entry_port(0));
    for (int i = 0; i < 2; ++i)
    {
        caller.send("GET", "/health", {{"Connection", "keep-alive"}}, "");
        ASSERT_TRUE(caller.read_response_with_length());
        EXPECT_EQ(caller.status(), 200);
        EXPECT_EQ(caller.header("Connection"), "keep-alive");
    }
}

} // namespace
} // namespace auburnweir::tests
