#include "protocol/platform_codec.hpp"
#include "support/scripted_server.hpp"
#include "transport/platform_client.hpp"

#include <atomic>
#include <gtest/gtest.h>

namespace auburnweir::tests
{
namespace
{

using namespace std::chrono_literals;

/// A client of a platform that sends a copy of a connection's first response to each later request.
class platform_client_test : public testing::Test
{
protected:
    template <class T>
    T result_of(net::awaitable<T> call)
    {
        std::optional<T> result;
        net::co_spawn(io_, store(std::move(call), result), net::detached);
        io_.restart();
        io_.run_for(5s);
        return std::move(result).value();
    }

    static std::vector<state::table_write> one_write(std::string key)
    {
        return {{state::row_key{std::move(key)}, state::row_version{0}, "{}"}};
    }

private:
    template <class T>
    static net::awaitable<void> store(net::awaitable<T> call, std::optional<T>& result)
    {
        result.emplace(co_await std::move(call));
    }

    static bool contains(std::string const& text, std::string_view part)
    {
        return text.find(part) != std::string::npos;
    }

    void serve(tcp::socket& socket)
    {
        auto const request = scripted_server::read_request_header(socket);
        auto const response = response_to(request);
        scripted_server::send(socket, response);
        if (ends_early)
            return;
        // The rest of the first request's body comes ahead of the next header.
        while (contains(scripted_server::read_request_header(socket), " HTTP/1.1\r\n"))
            scripted_server::send(socket, response);
    }

    std::string response_to(std::string const& request)
    {
        auto const target = request.substr(0, request.find(" HTTP/1.1\r\n"));
        auto const body = body_for(target);
        if (ends_early)
            return "HTTP/1.1 200 OK\r\n\r\n" + body.substr(0, body.size() / 2);
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body;
    }

    std::string body_for(std::string const& target)
    {
        if (contains(target, "/table/transact"))
            return protocol::encode_versions({state::row_version{++last_version_}});
        if (contains(target, "/objects/"))
            return target;
        auto const key = contains(target, "/table/row")
                             ? protocol::query_value(target, "key")
                             : protocol::query_value(target, "prefix") + "row";
        return protocol::encode_rows(
            {{state::row_key{key}, state::row_version{1}, std::string{"{}"}}});
    }

    std::uint64_t last_version_ = 0;

protected:
    /// Responses have neither a length nor chunks, and the connection ends in their middle.
    std::atomic<bool> ends_early{false};

private:
    scripted_server server_{[this](tcp::socket& s) { serve(s); }};
    transport::net::io_context io_;
    transport::http_client http_{io_};

protected:
    transport::platform_client platform{http_, {"127.0.0.1", server_.port()}, 500ms};
};

// Guards against TWICE: a copy of an earlier transaction's response taken for a write that was
// never made, so that another instance runs the operation as well.
TEST_F(platform_client_test, transaction_after_repeated_response_gets_its_own)
{
    for (auto const version : {1U, 2U})
    {
        auto const results = result_of(platform.transact(one_write("a")));
        ASSERT_EQ(results.size(), 1U);
        auto const* done = std::get_if<state::write_done>(&results.front());
        ASSERT_NE(done, nullptr);
        EXPECT_EQ(done->version, state::row_version{version});
    }
}

// Guards against a finished operation's answer that goes to the caller of another one.
TEST_F(platform_client_test, read_after_repeated_response_gets_its_own_row)
{
    for (std::string const key : {"a", "b"})
    {
        auto const result = result_of(platform.read(state::row_key{key}));
        auto const* row = std::get_if<state::table_row>(&result);
        ASSERT_NE(row, nullptr);
        EXPECT_EQ(row->key.str(), key);
    }
}

// Guards against reviews that are missed, as the scan got the rows of another one.
TEST_F(platform_client_test, scan_after_repeated_response_gets_its_own_rows)
{
    for (std::string const prefix : {"a/", "b/"})
    {
        auto const rows = result_of(platform.scan(prefix, {}, 10));
        ASSERT_TRUE(rows.has_value());
        ASSERT_EQ(rows->size(), 1U);
        EXPECT_EQ(rows->front().key.str(), prefix + "row");
    }
}

// Guards against the answer of another request.
TEST_F(platform_client_test, object_read_after_repeated_response_gets_its_own_content)
{
    for (std::string const name : {"a", "b"})
    {
        auto const content = result_of(platform.read_object(name));
        ASSERT_TRUE(content.has_value());
        EXPECT_EQ(*content, "GET /objects/" + name);
    }
}

// Guards against MIXED: part of a stored answer taken for the whole.
TEST_F(platform_client_test, object_that_ends_with_its_connection_is_not_read)
{
    ends_early = true;
    EXPECT_FALSE(result_of(platform.read_object("a")).has_value());
}

// Guards against rows, and results of writes, of which part is missing.
TEST_F(platform_client_test, rows_and_writes_whose_responses_are_cut_are_lost)
{
    ends_early = true;
    EXPECT_FALSE(result_of(platform.scan("a/", {}, 10)).has_value());
    auto const row = result_of(platform.read(state::row_key{"a"}));
    EXPECT_TRUE(std::holds_alternative<state::read_failed>(row));
    auto const results = result_of(platform.transact(one_write("a")));
    ASSERT_EQ(results.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<state::write_response_lost>(results.front()));
    EXPECT_FALSE(result_of(platform.read_instances(0)).has_value());
    EXPECT_FALSE(result_of(platform.read_notices()).has_value());
}

} // namespace
} // namespace auburnweir::tests
