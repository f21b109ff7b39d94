#include "support/deployment.hpp"
#include "support/gateway_deployment.hpp"
#include "support/http10_caller.hpp"

#include <chrono>
#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace auburnweir::tests
{
namespace
{

using std::chrono::milliseconds;

std::string first_events(int count)
{
    std::string text;
    for (int number = 1; number <= count; ++number)
    {
        auto const id = std::to_string(number);
        text += "id: " + id + "\ndata: token-" + id + "\n\n";
    }
    return text;
}

/// A gateway before two servers, and callers with HTTP/1.0, which can't read chunks and take each
/// orderly end of their connection for the end of the response.
class gateway_http10_test : public testing::Test
{
protected:
    static constexpr int events = 20;
    static constexpr int event_ms = 50;
    static constexpr int events_before_fault = 3;

    static gateway_deployment_plan plan()
    {
        gateway_deployment_plan p;
        p.route_timeout_ms = 8000;
        // The grace ends in the middle of each stream that has begun when the gateway is told to
        // stop. The gateway closes the connection of the slow caller before that has read all.
        p.settings = {{"stop_grace_s", "0.7"}, {"write_timeout_ms", "1000"}};
        return p;
    }

    void set_behaviour(json const& behaviour)
    {
        for (int i = 0; i < servers; ++i)
            gateway_deployment::control(system.backend(i), behaviour);
    }

    static void send(
        http10_caller& caller, std::string const& path, header_list const& more_headers = {},
        int deadline_ms = 8000)
    {
        header_list headers{
            {"Host", "calls.test"},
            {"Auburnweir-Attempt-Id", request_id},
            {"Auburnweir-Deadline-Ms", std::to_string(deadline_ms)}};
        headers.insert(headers.end(), more_headers.begin(), more_headers.end());
        caller.send("POST", path + request_id, headers, "order");
    }

    /// Sends a request for a stream and reads its first events.
    void begin_stream(http10_caller& caller, std::string const& path)
    {
        send(caller, path);
        ASSERT_TRUE(caller.read_body(first_events(events_before_fault).size()));
        ASSERT_EQ(caller.status(), 200);
    }

    /// Kills the server that runs the request with SIGKILL.
    void kill_running_server()
    {
        for (int i = 0; i < servers; ++i)
        {
            auto const runs = call(system.backend(i).port(), "GET", "/runs").parsed()["runs"];
            if (runs.contains(request_id))
            {
                system.backend(i).kill();
                return;
            }
        }
        FAIL() << "no server runs the request";
    }

    static void expect_whole_stream(http10_caller& caller, int count)
    {
        EXPECT_EQ(caller.read_to_end(), connection_end::orderly);
        EXPECT_EQ(caller.status(), 200);
        EXPECT_EQ(caller.header("Transfer-Encoding"), "");
        EXPECT_EQ(caller.header("Content-Type"), "text/event-stream");
        // Not EXPECT_EQ, which would print long streams.
        EXPECT_TRUE(caller.body() == first_events(count)) << caller.body().size() << " bytes";
    }

    static void expect_broken_off_stream(http10_caller& caller)
    {
        EXPECT_EQ(caller.read_to_end(), connection_end::reset);
        auto const body = caller.body();
        EXPECT_EQ(body, first_events(events).substr(0, body.size()));
        EXPECT_LT(body.size(), first_events(events).size());
    }

    static constexpr int servers = 2;
    static constexpr char const* request_id = "request-1";

    gateway_deployment system{plan()};
};

/// The same, for each framing of the servers' responses.
class gateway_http10_framing_test : public gateway_http10_test,
                                    public testing::WithParamInterface<char const*>
{
protected:
    gateway_http10_framing_test()
    {
        set_behaviour({{"framing", GetParam()}, {"events", events}, {"event_ms", event_ms}});
    }
};

// Guards against MIXED: the sizes of chunks taken for bytes of the stream.
TEST_P(gateway_http10_framing_test, stream_without_faults_is_plain_and_ends_in_order)
{
    http10_caller caller(system.port());
    begin_stream(caller, "/flow/stream/");
    expect_whole_stream(caller, events);
}

// Guards against ORDER: a stream that its dead server has cut short looks complete.
TEST_P(gateway_http10_framing_test, stream_of_killed_server_ends_with_reset)
{
    http10_caller caller(system.port());
    begin_stream(caller, "/flow/stream/");
    kill_running_server();
    expect_broken_off_stream(caller);
}

// Guards against ORDER: a stream that its deadline has cut short looks complete.
TEST_P(gateway_http10_framing_test, stream_beyond_its_deadline_ends_with_reset)
{
    http10_caller caller(system.port());
    send(caller, "/flow/stream/", {}, 600);
    expect_broken_off_stream(caller);
}

// Guards against ORDER: the FIN of a dead gateway's kernel taken for the end of the stream.
TEST_P(gateway_http10_framing_test, stream_of_killed_gateway_ends_with_reset)
{
    http10_caller caller(system.port());
    begin_stream(caller, "/flow/stream/");
    system.gateway(0).kill();
    expect_broken_off_stream(caller);
}

// Guards against ORDER: a stream that outlasts the grace of its gateway's stop looks complete.
TEST_P(gateway_http10_framing_test, stream_of_gateway_that_stops_ends_with_reset)
{
    set_behaviour({{"event_ms", 4 * event_ms}});
    http10_caller caller(system.port());
    begin_stream(caller, "/flow/stream/");
    system.gateway(0).signal(SIGTERM);
    expect_broken_off_stream(caller);
    EXPECT_EQ(system.gateway(0).wait_for_exit(5000), 0);
}

// Guards against LOST: a stream broken off that another server can complete.
TEST_P(gateway_http10_framing_test, resumable_stream_of_killed_server_is_whole)
{
    http10_caller caller(system.port());
    begin_stream(caller, "/stream/");
    kill_running_server();
    expect_whole_stream(caller, events);
}

INSTANTIATE_TEST_SUITE_P(
    servers, gateway_http10_framing_test, testing::Values("length", "chunks", "connection"),
    [](auto const& info) { return std::string{info.param}; });

// Guards against ORDER: bytes that a slow caller has not read yet are dropped at the end.
TEST_F(gateway_http10_test, stream_of_slow_caller_is_whole)
{
    constexpr int many_events = 10000; // do not fit the receive buffer
    constexpr int receive_buffer_bytes = 65536;
    set_behaviour({{"events", many_events}, {"event_ms", 0}});
    http10_caller caller(system.port(), receive_buffer_bytes);
    send(caller, "/flow/stream/");
    std::this_thread::sleep_for(milliseconds{4000});
    expect_whole_stream(caller, many_events);
}

// Guards against MIXED: a buffered response whose end a caller with HTTP/1.0 can't know.
TEST_F(gateway_http10_test, buffered_response_has_its_length_and_ends_its_connection)
{
    http10_caller caller(system.port());
    send(caller, "/once/");
    ASSERT_TRUE(caller.read_response_with_length());
    EXPECT_EQ(caller.status(), 200);
    EXPECT_EQ(protocol::text_at(json::parse(caller.body(), nullptr, false), "echo"), "order");
    EXPECT_EQ(caller.header("Transfer-Encoding"), "");
    EXPECT_NE(caller.header("Connection"), "keep-alive");
    EXPECT_EQ(caller.read_to_end(), connection_end::orderly);
}

// Guards against a connection that is closed, or seems to be, although its caller asks for more.
TEST_F(gateway_http10_test, connection_that_is_to_be_kept_serves_further_requests)
{
    http10_caller caller(system.port());
    for (int i = 0; i < 2; ++i)
    {
        send(caller, "/safe/", {{"Connection", "keep-alive"}});
        ASSERT_TRUE(caller.read_response_with_length());
        EXPECT_EQ(caller.status(), 200);
        EXPECT_EQ(caller.header("Connection"), "keep-alive");
    }
}

// Guards against a caller that waits for ever for the end of a stream without a length.
TEST_F(gateway_http10_test, stream_on_connection_that_is_to_be_kept_ends_it)
{
    set_behaviour({{"events", events}});
    http10_caller caller(system.port());
    send(caller, "/flow/stream/", {{"Connection", "keep-alive"}});
    expect_whole_stream(caller, events);
    EXPECT_NE(caller.header("Connection"), "keep-alive");
}

// Guards against bytes ahead of the response that a caller with HTTP/1.0 takes for the response.
TEST_F(gateway_http10_test, request_that_expects_to_continue_has_one_response)
{
    http10_caller caller(system.port());
    send(caller, "/once/", {{"Expect", "100-continue"}});
    EXPECT_EQ(caller.read_to_end(), connection_end::orderly);
    EXPECT_EQ(caller.status(), 200);
    EXPECT_EQ(std::to_string(caller.body().size()), caller.header("Content-Length"));
}

} // namespace
} // namespace auburnweir::tests
