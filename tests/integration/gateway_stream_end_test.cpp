#include "support/deployment.hpp"
#include "support/gateway_deployment.hpp"
#include "support/scripted_server.hpp"

#include <charconv>
#include <gtest/gtest.h>

namespace auburnweir::tests
{
namespace
{

/// How a scripted server frames its streams.
enum class framing
{
    chunks,
    chunks_and_trailer,
    length
};

std::string name_of(framing kind)
{
    switch (kind)
    {
    case framing::chunks:
        return "chunks";
    case framing::chunks_and_trailer:
        return "chunks_and_trailer";
    case framing::length:
        break;
    }
    return "length";
}

/// What a scripted server sends.
struct stream_script
{
    int events = 10;     ///< of a whole stream
    int torn_after = -1; ///< whole events, before the part of the next one; negative: not torn
    std::string torn_part = "id: 5\ndat";
    std::string line_end = "\n";
    bool tears_resumed = false;  ///< resumed streams are torn as well
    std::string bodiless_status; ///< of a response that has no body; empty: streams are sent
};

std::string event(int number, std::string const& line_end = "\n")
{
    auto const text = std::to_string(number);
    return "id: " + text + line_end + "data: token-" + text + line_end + line_end;
}

std::string first_events(int count, std::string const& line_end = "\n")
{
    std::string text;
    for (int number = 1; number <= count; ++number)
        text += event(number, line_end);
    return text;
}

std::string chunk(std::string const& data)
{
    std::array<char, 16> size{};
    auto const end = std::to_chars(size.begin(), size.end(), data.size(), 16).ptr;
    return std::string(size.begin(), end) + "\r\n" + data + "\r\n";
}

/// A gateway before servers that mark the end of a stream's body as a test says.
class gateway_stream_end_test : public testing::TestWithParam<framing>
{
protected:
    static gateway_deployment_plan plan()
    {
        gateway_deployment_plan result;
        result.backends = 0;
        return result;
    }

    /// Connections are served one at a time, so callers come one after another.
    scripted_server::script serve(stream_script script, std::atomic<int>& runs)
    {
        return [script, &runs](tcp::socket& s)
        {
            for (;;)
            {
                auto const request = read_request(s);
                if (request.empty())
                    return;
                ++runs;
                scripted_server::send(s, response_to(request, script));
            }
        };
    }

    static std::string header_of(std::string const& request, std::string const& name)
    {
        auto const at = request.find("\r\n" + name + ": ");
        if (at == std::string::npos)
            return {};
        auto const begin = at + name.size() + 4;
        return request.substr(begin, request.find('\r', begin) - begin);
    }

    /// Reads a request with its body; empty when the connection ended.
    static std::string read_request(tcp::socket& s)
    {
        auto text = scripted_server::read_request_header(s);
        auto const end = text.find("\r\n\r\n");
        if (end == std::string::npos)
            return {};
        auto const length = header_of(text, "Content-Length");
        auto const size = end + 4 + (length.empty() ? 0 : std::stoul(length));
        if (text.size() < size)
        {
            std::string rest(size - text.size(), '\0');
            boost::system::error_code error;
            net::read(s, net::buffer(rest), error);
            text += rest;
        }
        return text;
    }

    static std::string response_to(std::string const& request, stream_script const& script)
    {
        if (!script.bodiless_status.empty())
            return "HTTP/1.1 " + script.bodiless_status +
                   "\r\nAuburnweir-Instance-Stamp: s\r\nAuburnweir-Attempt-Id: " +
                   header_of(request, "Auburnweir-Attempt-Id") + "\r\n\r\n";
        auto const resumed = header_of(request, "Last-Event-Id");
        bool const is_torn = script.torn_after >= 0 && (resumed.empty() || script.tears_resumed);
        int const first = resumed.empty() ? 1 : std::stoi(resumed) + 1;
        std::vector<std::string> parts;
        for (int number = first; number <= script.events; ++number)
        {
            if (is_torn && number == first + script.torn_after)
            {
                parts.push_back(script.torn_part);
                break;
            }
            parts.push_back(event(number, script.line_end));
        }
        std::string text = "HTTP/1.1 200 OK\r\nAuburnweir-Instance-Stamp: s\r\n"
                           "Auburnweir-Attempt-Id: " +
                           header_of(request, "Auburnweir-Attempt-Id") +
                           "\r\nContent-Type: text/event-stream\r\n";
        std::string body;
        for (auto const& part : parts)
            if (!part.empty())
                body += GetParam() == framing::length ? part : chunk(part);
        if (GetParam() == framing::length)
            return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        bool const has_trailer = GetParam() == framing::chunks_and_trailer;
        text += has_trailer ? "Trailer: Auburnweir-Instance-Load\r\n" : "";
        return text + "Transfer-Encoding: chunked\r\n\r\n" + body + "0\r\n" +
               (has_trailer ? "Auburnweir-Instance-Load: 1,0,8\r\n" : "") + "\r\n";
    }

    /// A scripted server that is listed in the directory while it exists.
    class listed_server
    {
    public:
        listed_server(
            gateway_deployment& deployment, std::string id, scripted_server::script script)
            : deployment_(deployment)
            , id_(std::move(id))
            , server_(std::move(script))
        {
            json const entry{
                {"service", "desk"},    {"address", "127.0.0.1:" + std::to_string(server_.port())},
                {"zone", "domain-1"},   {"version", "v1"},
                {"slots", 8},           {"state", "ready"},
                {"coldRemainingMs", 0}, {"sequence", 1},
                {"born", 2000}};
            json const row{{"table", "servers"}, {"key", id_}, {"value", entry.dump()}};
            gateway_deployment::control(deployment_.store(), {{"put", json::array({row})}});
            EXPECT_TRUE(eventually([this] { return is_known(); }));
        }

        /// The gateway closes its connections, which the script may be waiting for.
        ~listed_server()
        {
            json const row{{"table", "servers"}, {"key", id_}};
            gateway_deployment::control(deployment_.store(), {{"remove", json::array({row})}});
            EXPECT_TRUE(eventually([this] { return !is_known(); }));
        }

        int connections() const { return server_.connections(); }

    private:
        bool is_known()
        {
            auto const status = call(deployment_.gateway(0).port("metrics"), "GET", "/status");
            return std::ranges::any_of(
                status.parsed()["backends"],
                [&](json const& backend) { return backend.value("id", "") == id_; });
        }

        gateway_deployment& deployment_;
        std::string id_;
        scripted_server server_;
    };

    streamed_answer stream(std::string const& path, std::string const& id)
    {
        streamed_answer answer(
            system.port(), "POST", path,
            {{"Host", "calls.test"},
             {"Auburnweir-Attempt-Id", id},
             {"Auburnweir-Deadline-Ms", "3000"}},
            "order");
        answer.read_to_end();
        return answer;
    }

    gateway_deployment system{plan()};
    std::atomic<int> runs_{0};
    std::atomic<int> other_runs_{0};
};

// Guards against ORDER: a body that ends inside an event passed on as a complete stream.
TEST_P(gateway_stream_end_test, stream_that_ends_inside_an_event_stays_incomplete)
{
    std::vector<std::string> const torn_parts{"id: 5", "id: 5\ndat", "id: 5\ndata: token-5\n"};
    for (std::size_t i = 0; i < torn_parts.size(); ++i)
    {
        stream_script script;
        script.torn_after = 4;
        script.torn_part = torn_parts[i];
        runs_ = 0;
        listed_server server(system, "torn-" + std::to_string(i), serve(script, runs_));
        auto const answer = stream("/flow/stream/" + std::to_string(i), "a" + std::to_string(i));
        EXPECT_EQ(answer.status(), 200) << torn_parts[i];
        EXPECT_FALSE(answer.is_complete()) << torn_parts[i];
        EXPECT_EQ(answer.body(), first_events(4)) << torn_parts[i];
        EXPECT_EQ(runs_, 1) << torn_parts[i];
    }
    EXPECT_EQ(
        system.counter(0, "auburnweir_streams_ended_inside_event_total"),
        static_cast<double>(torn_parts.size()));
}

// Guards against ORDER: as above, within a line end of two bytes.
TEST_P(gateway_stream_end_test, crlf_stream_that_ends_inside_an_event_stays_incomplete)
{
    std::vector<std::string> const torn_parts{"id: 5\r", "id: 5\r\ndata: token-5\r\n\r"};
    for (std::size_t i = 0; i < torn_parts.size(); ++i)
    {
        stream_script script;
        script.line_end = "\r\n";
        script.torn_after = 4;
        script.torn_part = torn_parts[i];
        listed_server server(system, "torn-" + std::to_string(i), serve(script, runs_));
        auto const answer = stream("/flow/stream/" + std::to_string(i), "b" + std::to_string(i));
        EXPECT_FALSE(answer.is_complete()) << i;
        EXPECT_EQ(answer.body(), first_events(4, "\r\n")) << i;
    }
}

// Guards against ORDER: a body that ends before the first event passed on as a complete stream.
TEST_P(gateway_stream_end_test, stream_that_ends_before_its_first_event_is_no_answer)
{
    std::vector<std::string> const parts{"", ": still here\n\n"};
    for (std::size_t i = 0; i < parts.size(); ++i)
    {
        stream_script script;
        script.torn_after = 0;
        script.torn_part = parts[i];
        listed_server server(system, "torn-" + std::to_string(i), serve(script, runs_));
        auto const answer = stream("/flow/stream/" + std::to_string(i), "c" + std::to_string(i));
        EXPECT_FALSE(answer.status() == 200 && answer.is_complete()) << parts[i];
    }
}

// Guards against ORDER: a torn stream that another server could have gone on with.
TEST_P(gateway_stream_end_test, resumable_stream_that_ends_inside_an_event_goes_on_elsewhere)
{
    stream_script torn;
    torn.torn_after = 4;
    listed_server first(system, "torn", serve(torn, runs_));
    listed_server second(system, "sound", serve({}, other_runs_));
    for (int i = 0; i < 6; ++i)
    {
        auto const answer = stream("/stream/" + std::to_string(i), "d" + std::to_string(i));
        EXPECT_EQ(answer.status(), 200);
        EXPECT_TRUE(answer.is_complete());
        EXPECT_EQ(answer.body(), first_events(10));
    }
    EXPECT_GT(runs_, 0);
    EXPECT_GT(system.counter(0, "auburnweir_retries_total{reason=\"stream_truncated\"}"), 0);
}

// Guards against ORDER: as above, where the run that goes on is torn too.
TEST_P(gateway_stream_end_test, resumed_stream_that_ends_inside_an_event_stays_incomplete)
{
    stream_script torn;
    torn.torn_after = 2;
    torn.torn_part = "id: 3\nd";
    torn.tears_resumed = true;
    listed_server first(system, "torn-1", serve(torn, runs_));
    listed_server second(system, "torn-2", serve(torn, other_runs_));
    auto const answer = stream("/stream/x", "e1");
    EXPECT_EQ(answer.status(), 200);
    EXPECT_FALSE(answer.is_complete());
    EXPECT_EQ(answer.body(), first_events(4));
    EXPECT_EQ(runs_ + other_runs_, 2);
}

// Guards against MIXED: the rest of a torn stream taken for the response to the next request.
TEST_P(gateway_stream_end_test, connection_of_torn_stream_is_not_used_again)
{
    stream_script torn;
    torn.torn_after = 4;
    listed_server server(system, "torn", serve(torn, runs_));
    auto const before = server.connections();
    for (int i = 0; i < 4; ++i)
        EXPECT_FALSE(
            stream("/flow/stream/" + std::to_string(i), "f" + std::to_string(i)).is_complete());
    EXPECT_EQ(server.connections() - before, 4);
}

TEST_P(gateway_stream_end_test, sound_stream_with_line_ends_of_any_kind_is_passed_on_unchanged)
{
    std::vector<std::string> const line_ends{"\n", "\r\n", "\r"};
    for (std::size_t i = 0; i < line_ends.size(); ++i)
    {
        stream_script sound;
        sound.line_end = line_ends[i];
        listed_server server(system, "sound-" + std::to_string(i), serve(sound, runs_));
        auto const before = server.connections();
        for (int request = 0; request < 3; ++request)
        {
            auto const answer =
                stream("/flow/stream/x", "g" + std::to_string(i) + std::to_string(request));
            EXPECT_EQ(answer.status(), 200) << i;
            EXPECT_TRUE(answer.is_complete()) << i;
            EXPECT_EQ(answer.body(), first_events(10, line_ends[i])) << i;
        }
        EXPECT_EQ(server.connections() - before, 1) << "the connection is kept";
    }
}

// A caller that has all events asks for the rest.
TEST_P(gateway_stream_end_test, resumed_stream_that_has_no_event_left_is_complete)
{
    listed_server server(system, "sound", serve({}, runs_));
    auto const response = system.send_request("/stream/x", "h1", {{"Last-Event-Id", "10"}});
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "");
}

// Guards against a response that can have no body taken for a stream without events.
TEST_P(gateway_stream_end_test, response_that_has_no_body_is_passed_on)
{
    stream_script bodiless;
    bodiless.bodiless_status = "204 No Content";
    {
        listed_server server(system, "bodiless-1", serve(bodiless, runs_));
        EXPECT_EQ(system.send_request("/flow/stream/x", "i1").status, 204);
    }
    bodiless.bodiless_status = "200 OK";
    listed_server server(system, "bodiless-2", serve(bodiless, runs_));
    header_list const headers{{"Host", "calls.test"}, {"Auburnweir-Attempt-Id", "i2"}};
    EXPECT_EQ(call(system.port(), "HEAD", "/flow/stream/y", headers, "").status, 200);
    EXPECT_EQ(runs_, 2);
}

INSTANTIATE_TEST_SUITE_P(
    framings, gateway_stream_end_test,
    testing::Values(framing::chunks, framing::chunks_and_trailer, framing::length),
    [](auto const& info) { return name_of(info.param); });

} // namespace
} // namespace auburnweir::tests
