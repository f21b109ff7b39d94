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

    call_outcome call(scripted_server& server, call_policy policy = {}, std::string body = {})
    {
        policy.header_timeout = call_timeout;
        call_outcome result;
        state::endpoint const to{"127.0.0.1", server.port()};
        net::co_spawn(io_, run(to, policy, std::move(body), result), net::detached);
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
    net::awaitable<void> run(
        state::endpoint to, call_policy policy, std::string body, call_outcome& result)
    {
        http_request request;
        request.method = body.empty() ? "GET" : "POST";
        request.target = "/x";
        request.body = std::move(body);
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
        auto rest = co_await opened.value().read_rest(limits);
        if (rest)
            result.body = rest.value();
        else
            result.error = rest.error();
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

// Guards against a status that is none, passed on or skipped as an interim response.
TEST_F(http_client_test, response_with_invalid_status_is_lost)
{
    for (std::string const status :
         {"000", "001", "099", "600", "999", "20", "2000", "2OO", "-20", "abc"})
    {
        scripted_server server(
            [&](tcp::socket& s)
            {
                scripted_server::read_request_header(s);
                scripted_server::send(
                    s, "HTTP/1.1 " + status + " Any\r\nContent-Length: 0\r\n\r\n" +
                           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                scripted_server::read_request_header(s);
            });
        auto const started_at = std::chrono::steady_clock::now();
        auto const result = call(server);
        EXPECT_EQ(result.error, http_error::response_lost) << status;
        EXPECT_EQ(result.status, 0) << status;
        EXPECT_LT(std::chrono::steady_clock::now() - started_at, call_timeout / 2) << status;
        client_.idle().close_all(); // The server waits for its end.
    }
}

TEST_F(http_client_test, response_with_status_at_end_of_valid_range_is_read)
{
    for (int const status : {200, 599})
    {
        scripted_server server(
            [&](tcp::socket& s)
            {
                scripted_server::read_request_header(s);
                scripted_server::send(
                    s, "HTTP/1.1 199 Any\r\n\r\nHTTP/1.1 " + std::to_string(status) +
                           " Any\r\nContent-Length: 2\r\n\r\nok");
            });
        auto const result = call(server);
        EXPECT_EQ(result.status, status);
        EXPECT_EQ(result.body, "ok");
    }
}

/// A response without a length to a long upload.
class http_client_early_response_test : public http_client_test,
                                        public testing::WithParamInterface<char const*>
{
protected:
    static constexpr int repetitions = 5;

    /// Longer than the send buffer, so that the request is not completely written.
    static constexpr std::size_t long_upload = 8 << 20;

    /// Fits the send buffer, but not the receive buffer of a server that does not read.
    static constexpr std::size_t medium_upload = 1 << 20;

    static std::string response(std::string const& body)
    {
        return std::string{GetParam()} + " 200 OK\r\nContent-Type: text/plain\r\n\r\n" + body;
    }

    /// Reads the rest of a request's body. @return its bytes, without what came with the header
    static std::size_t read_body(tcp::socket& socket, std::size_t at_most)
    {
        std::string bytes(at_most, '\0');
        boost::system::error_code error;
        return net::read(socket, net::buffer(bytes), error);
    }

    static void wait_for_end(tcp::socket& socket)
    {
        boost::system::error_code error;
        std::string bytes(1 << 16, '\0');
        while (!error)
            socket.read_some(net::buffer(bytes), error);
    }

    void expect_lost(scripted_server& server, std::size_t upload)
    {
        for (int i = 0; i < repetitions; ++i)
        {
            auto const result = call(server, {}, std::string(upload, 'u'));
            EXPECT_EQ(result.error, http_error::response_lost) << upload;
            EXPECT_EQ(result.body, "") << upload;
        }
    }
};

// Guards against a part of a response taken for a complete one: the writer gets the error of the
// reset, and the reader an end of file.
TEST_P(http_client_early_response_test, response_reset_during_upload_is_lost)
{
    for (auto const upload : {long_upload, medium_upload})
        for (auto const delay : {0ms, 5ms, 50ms})
        {
            scripted_server server(
                [delay](tcp::socket& s)
                {
                    scripted_server::read_request_header(s);
                    scripted_server::send(s, response("part"));
                    std::this_thread::sleep_for(delay);
                    scripted_server::reset(s);
                });
            expect_lost(server, upload);
        }
}

// Guards against a part of a response taken for a complete one: an orderly close proves nothing
// while the request is incomplete.
TEST_P(http_client_early_response_test, response_closed_during_upload_is_lost)
{
    for (auto const upload : {long_upload, medium_upload})
    {
        scripted_server server(
            [](tcp::socket& s)
            {
                scripted_server::read_request_header(s);
                scripted_server::send(s, response("part"));
                boost::system::error_code ignored;
                s.shutdown(tcp::socket::shutdown_send, ignored);
                std::this_thread::sleep_for(100ms);
            });
        expect_lost(server, upload);
    }
}

// Guards against a part of a response taken for a complete one: the reset comes after the end of
// file, when the whole request has arrived.
TEST_P(http_client_early_response_test, response_closed_and_reset_after_upload_is_lost)
{
    scripted_server server(
        [](tcp::socket& s)
        {
            scripted_server::read_request_header(s);
            read_body(s, medium_upload - 4096);
            std::this_thread::sleep_for(20ms);
            scripted_server::send(s, response("part"));
            boost::system::error_code ignored;
            s.shutdown(tcp::socket::shutdown_send, ignored);
            scripted_server::reset(s);
        });
    expect_lost(server, medium_upload);
}

// Guards against sound responses that are lost, as their end is not believed.
TEST_P(http_client_early_response_test, response_closed_after_whole_upload_is_complete)
{
    for (auto const upload : {long_upload, medium_upload, std::size_t{100}})
    {
        scripted_server server(
            [upload](tcp::socket& s)
            {
                std::string request;
                boost::system::error_code error;
                auto const header =
                    net::read_until(s, net::dynamic_buffer(request), "\r\n\r\n", error);
                read_body(s, header + upload - request.size());
                scripted_server::send(s, response("all of it"));
            });
        for (int i = 0; i < repetitions; ++i)
        {
            auto const result = call(server, {}, std::string(upload, 'u'));
            EXPECT_FALSE(result.error) << upload;
            EXPECT_EQ(result.body, "all of it") << upload;
        }
    }
}

// Guards against orderly refusals of long uploads that do not reach the caller.
TEST_P(http_client_early_response_test, response_with_length_during_upload_is_complete)
{
    scripted_server server(
        [](tcp::socket& s)
        {
            scripted_server::read_request_header(s);
            scripted_server::send(
                s, std::string{GetParam()} + " 413 Long\r\nConnection: close\r\n"
                                             "Content-Length: 4\r\n\r\nlong");
            wait_for_end(s);
        });
    for (int i = 0; i < repetitions; ++i)
    {
        auto const result = call(server, {}, std::string(long_upload, 'u'));
        EXPECT_EQ(result.status, 413);
        EXPECT_EQ(result.body, "long");
    }
}

INSTANTIATE_TEST_SUITE_P(
    versions, http_client_early_response_test, testing::Values("HTTP/1.0", "HTTP/1.1"),
    [](auto const& info)
    { return std::string{info.param}.back() == '0' ? "http_1_0" : "http_1_1"; });

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
