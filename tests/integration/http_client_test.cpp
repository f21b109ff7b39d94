#include "support/scripted_server.hpp"
#include "transport/http_client.hpp"

#include <gtest/gtest.h>

namespace auburnweir::tests
{
namespace
{

using namespace std::chrono_literals;
using transport::call_policy;
using transport::http_error;
using transport::http_request;

/// Calls one client on one loop, as a worker does.
class http_client_test : public testing::Test
{
protected:
    struct outcome
    {
        std::optional<http_error> fault;
        int status = 0;
        std::string body;
    };

    outcome call(scripted_server& server, call_policy policy = {})
    {
        policy.timeout = 2s;
        outcome result;
        state::endpoint const to{"127.0.0.1", server.port()};
        net::co_spawn(io_, run(to, policy, result), net::detached);
        io_.restart();
        io_.run_for(5s);
        return result;
    }

    /// Takes only answers that carry this id.
    static call_policy for_request(std::string id)
    {
        call_policy policy;
        policy.matches_call = [id](int, transport::http_fields const& f) { return f["Id"] == id; };
        return policy;
    }

    transport::net::io_context io_;
    transport::http_client client_{io_};

private:
    net::awaitable<void> run(state::endpoint to, call_policy policy, outcome& result)
    {
        http_request what;
        what.target = "/x";
        auto opened = co_await client_.open(to, std::move(what), policy);
        if (!opened)
        {
            result.fault = opened.error();
            co_return;
        }
        result.status = opened.value().status();
        auto body = co_await opened.value().read_rest(1 << 20, 2s);
        if (body)
            result.body = body.value();
        else
            result.fault = body.error();
    }
};

TEST_F(http_client_test, answer_without_length_that_ends_in_order_is_whole)
{
    scripted_server server(
        [](tcp::socket& s)
        {
            scripted_server::read_header(s);
            scripted_server::send(s, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it");
        });
    auto const got = call(server);
    EXPECT_FALSE(got.fault);
    EXPECT_EQ(got.body, "all of it");
}

TEST_F(http_client_test, answer_without_length_that_is_reset_is_lost)
{
    scripted_server server(
        [](tcp::socket& s)
        {
            scripted_server::read_header(s);
            scripted_server::send(s, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf");
            std::this_thread::sleep_for(100ms);
            scripted_server::reset(s);
        });
    EXPECT_EQ(call(server).fault, http_error::lost);
}

TEST_F(http_client_test, late_answer_to_an_earlier_request_is_dropped)
{
    scripted_server server(
        [](tcp::socket& s)
        {
            scripted_server::read_header(s);
            scripted_server::send(s, "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold");
            scripted_server::send(s, "HTTP/1.1 200 OK\r\nId: new\r\nContent-Length: 3\r\n\r\nnew");
        });
    auto const got = call(server, for_request("new"));
    EXPECT_EQ(got.body, "new");
    EXPECT_EQ(client_.late_responses(), 1U);
}

TEST_F(http_client_test, connection_with_bytes_after_its_answer_is_not_used_again)
{
    scripted_server server(
        [](tcp::socket& s)
        {
            scripted_server::read_header(s);
            scripted_server::send(
                s, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
        });
    EXPECT_EQ(call(server).body, "ok");
    EXPECT_EQ(call(server).body, "ok");
    EXPECT_EQ(server.connections(), 2);
}

TEST_F(http_client_test, refused_connection_sends_nothing)
{
    state::endpoint to{"127.0.0.1", 1};
    std::optional<http_error> fault;
    net::co_spawn(
        io_,
        [&]() -> net::awaitable<void>
        {
            http_request what;
            auto const got = co_await client_.call(to, std::move(what), 1s);
            if (!got)
                fault = got.error();
        },
        net::detached);
    io_.run_for(3s);
    EXPECT_EQ(fault, http_error::connect_failed);
}

} // namespace
} // namespace auburnweir::tests
