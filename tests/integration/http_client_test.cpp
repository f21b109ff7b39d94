#include "support/scripted_server.hpp"
#include "transport/http_client.hpp"

#include <future>
#include <gtest/gtest.h>

namespace auburnweir::tests
{
namespace
{

using namespace std::chrono_literals;
using transport::call_policy;
using transport::http_error;
using transport::http_request;

/// Runs one client on one event loop, as a worker does.
class http_client_test : public testing::Test
{
protected:
    struct call_outcome
    {
        std::optional<http_error> error;
        int status = 0;
        std::string body;
    };

    static constexpr auto call_timeout = 2s;

    call_outcome call(scripted_server& server, call_policy policy = {})
    {
        policy.header_timeout = call_timeout;
        call_outcome result;
        state::endpoint const to{"127.0.0.1", server.port()};
        net::co_spawn(io_, run(to, policy, result), net::detached);
        io_.restart();
        io_.run_for(5s);
        return result;
    }

    /// Sends `head`, then `part` every `pause` until the client closes the connection.
    static void send_without_end(
        tcp::socket& socket, std::string const& head, std::string const& part,
        std::chrono::milliseconds pause = 0ms)
    {
        scripted_server::read_request_header(socket);
        boost::system::error_code error;
        net::write(socket, net::buffer(head), error);
        while (!error)
        {
            net::write(socket, net::buffer(part), error);
            std::this_thread::sleep_for(pause);
        }
    }

    /// Accepts only responses with this id.
    static call_policy accept_id(std::string id)
    {
        call_policy policy;
        policy.owner_of = [id](int, transport::http_fields const& f)
        {
            return f["Id"] == id ? transport::response_owner::this_call
                                 : transport::response_owner::earlier_call;
        };
        return policy;
    }

    transport::net::io_context io_;
    transport::http_client client_{io_};

private:
    net::awaitable<void> run(state::endpoint to, call_policy policy, call_outcome& result)
    {
        http_request request;
        request.target = "/x";
        auto opened = co_await client_.open(to, std::move(request), policy);
        if (!opened)
        {
            result.error = opened.error();
            co_return;
        }
        result.status = opened.value().status();
        transport::body_limits limits;
        limits.size = state::byte_count{1 << 20};
        limits.timeout = call_timeout;
        auto body = co_await opened.value().read_rest(limits);
        if (body)
            result.body = body.value();
        else
            result.error = body.error();
    }
};

TEST_F(http_client_test, response_without_length_closed_cleanly_is_complete)
{
    scripted_server server(
        [](tcp::socket& s)
        {
            scripted_server::read_request_header(s);
            scripted_server::send(s, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it");
        });
    auto const result = call(server);
    EXPECT_FALSE(result.error);
    EXPECT_EQ(result.body, "all of it");
}

TEST_F(http_client_test, response_without_length_after_reset_is_lost)
{
    scripted_server server(
        [](tcp::socket& s)
        {
            scripted_server::read_request_header(s);
            scripted_server::send(s, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf");
            std::this_thread::sleep_for(100ms);
            scripted_server::reset(s);
        });
    EXPECT_EQ(call(server).error, http_error::response_lost);
}

TEST_F(http_client_test, late_response_to_earlier_request_is_dropped)
{
    scripted_server server(
        [](tcp::socket& s)
        {
            scripted_server::read_request_header(s);
            scripted_server::send(s, "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold");
            scripted_server::send(s, "HTTP/1.1 200 OK\r\nId: new\r\nContent-Length: 3\r\n\r\nnew");
        });
    auto const result = call(server, accept_id("new"));
    EXPECT_EQ(result.body, "new");
    EXPECT_EQ(client_.late_responses(), 1U);
}

TEST_F(http_client_test, connection_with_bytes_after_response_is_not_reused)
{
    scripted_server server(
        [](tcp::socket& s)
        {
            scripted_server::read_request_header(s);
            scripted_server::send(
                s, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
        });
    EXPECT_EQ(call(server).body, "ok");
    EXPECT_EQ(call(server).body, "ok");
    EXPECT_EQ(server.connections(), 2);
}

TEST_F(http_client_test, connection_of_unnamed_response_is_not_reused)
{
    scripted_server server(
        [](tcp::socket& s)
        {
            scripted_server::read_request_header(s);
            scripted_server::send(s, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            if (scripted_server::read_request_header(s).empty())
                return;
            scripted_server::send(s, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        });
    call_policy policy;
    policy.owner_of = [](int, transport::http_fields const&)
    { return transport::response_owner::unnamed; };
    EXPECT_EQ(call(server, policy).status, 503);
    EXPECT_EQ(call(server, policy).status, 503);
    EXPECT_EQ(server.connections(), 2);
}

// Guards against a copy of a response that names no call, taken for the response to the next call.
TEST_F(http_client_test, own_connection_of_a_call_is_not_used_by_others)
{
    scripted_server server(
        [](tcp::socket& s)
        {
            scripted_server::read_request_header(s);
            scripted_server::send(s, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            scripted_server::read_request_header(s);
        });
    call_policy own;
    own.use = transport::connection_use::own_connection;
    EXPECT_EQ(call(server, own).body, "ok");
    EXPECT_EQ(client_.idle().size(), 0U);
    EXPECT_EQ(call(server).body, "ok");
    EXPECT_EQ(server.connections(), 2);
    client_.idle().close_all(); // The server waits for its end.
}

// Guards against calls that fail for want of a port, as each holds one for a minute after its end.
TEST_F(http_client_test, own_connection_is_reset_after_the_response)
{
    std::promise<boost::system::error_code> end;
    scripted_server server(
        [&end](tcp::socket& s)
        {
            scripted_server::read_request_header(s);
            scripted_server::send(s, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            char byte = 0;
            boost::system::error_code error;
            s.read_some(net::buffer(&byte, 1), error);
            end.set_value(error);
        });
    call_policy own;
    own.use = transport::connection_use::own_connection;
    EXPECT_EQ(call(server, own).body, "ok");
    EXPECT_EQ(end.get_future().get(), net::error::connection_reset);
}

TEST_F(http_client_test, header_without_end_is_lost)
{
    scripted_server server([](tcp::socket& s)
                           { send_without_end(s, "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"); });
    EXPECT_EQ(call(server).error, http_error::response_lost);
}

TEST_F(http_client_test, header_line_without_end_is_lost)
{
    scripted_server server([](tcp::socket& s)
                           { send_without_end(s, "HTTP/1.1 200 OK\r\nX: ", "xxxxxxxx"); });
    EXPECT_EQ(call(server).error, http_error::response_lost);
}

TEST_F(http_client_test, header_split_at_each_byte_is_read)
{
    scripted_server server(
        [](tcp::socket& s)
        {
            scripted_server::read_request_header(s);
            for (char const c : std::string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"})
                scripted_server::send(s, std::string(1, c));
        });
    EXPECT_EQ(call(server).body, "ok");
}

// Guards against MIXED, ORDER: a head that breaks off is taken for a response with a short body.
TEST_F(http_client_test, response_closed_at_any_byte_of_its_header_is_lost)
{
    std::string const header =
        "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n";
    for (std::size_t length = 0; length < header.size(); ++length)
    {
        scripted_server server(
            [&](tcp::socket& s)
            {
                scripted_server::read_request_header(s);
                scripted_server::send(s, header.substr(0, length));
            });
        auto const result = call(server);
        EXPECT_TRUE(result.error) << length;
        EXPECT_EQ(result.status, 0) << length;
    }
}

// Guards against MIXED and REFUSED: the head of a copy that breaks off, completed by the answer.
TEST_F(http_client_test, header_joined_from_two_responses_is_lost)
{
    std::string const answer = "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 1\r\n\r\nb";
    std::string const copy = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nLoad: 1,0\r\n\r\n";
    for (std::size_t cut = 1; cut + 1 < copy.size(); ++cut)
    {
        scripted_server server(
            [&](tcp::socket& s)
            {
                scripted_server::read_request_header(s);
                scripted_server::send(s, copy.substr(0, cut) + answer);
            });
        EXPECT_EQ(call(server, accept_id("b")).error, http_error::response_lost) << cut;
    }
}

TEST_F(http_client_test, interim_responses_before_response_are_skipped)
{
    scripted_server server(
        [](tcp::socket& s)
        {
            scripted_server::read_request_header(s);
            scripted_server::send(
                s, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
                   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        });
    auto const result = call(server);
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(result.body, "ok");
}

TEST_F(http_client_test, interim_responses_without_end_are_lost)
{
    scripted_server server([](tcp::socket& s)
                           { send_without_end(s, "", "HTTP/1.1 100 Continue\r\n\r\n"); });
    EXPECT_EQ(call(server).error, http_error::response_lost);
}

TEST_F(http_client_test, chunk_extension_without_end_is_lost)
{
    scripted_server server(
        [](tcp::socket& s) {
            send_without_end(
                s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", "xxxxxxxx");
        });
    EXPECT_EQ(call(server).error, http_error::response_lost);
}

TEST_F(http_client_test, trailer_without_end_is_lost)
{
    scripted_server server(
        [](tcp::socket& s)
        {
            send_without_end(
                s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: 1\r\n");
        });
    EXPECT_EQ(call(server).error, http_error::response_lost);
}

TEST_F(http_client_test, body_without_end_is_too_large)
{
    scripted_server server(
        [](tcp::socket& s)
        { send_without_end(s, "HTTP/1.1 200 OK\r\n\r\n", std::string(4096, 'x')); });
    EXPECT_EQ(call(server).error, http_error::too_large);
}

TEST_F(http_client_test, body_of_single_bytes_without_end_times_out)
{
    scripted_server server([](tcp::socket& s)
                           { send_without_end(s, "HTTP/1.1 200 OK\r\n\r\n", "x", 100ms); });
    EXPECT_EQ(call(server).error, http_error::timed_out);
}

TEST_F(http_client_test, late_response_without_end_times_out)
{
    scripted_server server(
        [](tcp::socket& s)
        { send_without_end(s, "HTTP/1.1 200 OK\r\nId: old\r\n\r\n", "x", 100ms); });
    EXPECT_EQ(call(server, accept_id("new")).error, http_error::timed_out);
}

TEST_F(http_client_test, late_response_on_reused_connection_is_not_the_next_answer)
{
    // The second copy of the first answer arrives while the second request waits.
    scripted_server server(
        [](tcp::socket& s)
        {
            scripted_server::read_request_header(s);
            scripted_server::send(s, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\n\r\na");
            scripted_server::read_request_header(s);
            scripted_server::send(s, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\n\r\na");
            std::this_thread::sleep_for(50ms);
            scripted_server::send(s, "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 1\r\n\r\nb");
        });
    EXPECT_EQ(call(server, accept_id("a")).body, "a");
    EXPECT_EQ(call(server, accept_id("b")).body, "b");
    EXPECT_EQ(server.connections(), 1);
}

TEST_F(http_client_test, call_with_refused_connection_is_connect_failure)
{
    state::endpoint to{"127.0.0.1", 1};
    std::optional<http_error> error;
    net::co_spawn(
        io_,
        [&]() -> net::awaitable<void>
        {
            http_request request;
            auto const result = co_await client_.call(to, std::move(request), 1s);
            if (!result)
                error = result.error();
        },
        net::detached);
    io_.run_for(3s);
    EXPECT_EQ(error, http_error::connect_failed);
}

} // namespace
} // namespace auburnweir::tests
