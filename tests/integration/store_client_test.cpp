#include "platform/store_client.hpp"
#include "support/scripted_server.hpp"

#include <gtest/gtest.h>

namespace auburnweir::tests
{
namespace
{

using namespace std::chrono_literals;
using transport::store_error;
using transport::write_applied;

/// A client of a store whose responses a test scripts.
class store_client_test : public testing::Test
{
protected:
    static std::string response(int status, int version)
    {
        auto const body = "{\"ver\":" + std::to_string(version) + ",\"nowMs\":1}";
        return "HTTP/1.1 " + std::to_string(status) +
               " Any\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    transport::conditional_write_result write(scripted_server& server, std::uint64_t expected)
    {
        transport::conditional_write request;
        request.table = transport::table_name{"duties"};
        request.key = "lease";
        request.expected_version = state::row_version{expected};
        transport::conditional_write_result result = store_error::malformed;
        state::endpoint const address{"127.0.0.1", server.port()};
        platform::store_client store(http_, address, counters_);
        net::co_spawn(io_, run(store, std::move(request), result), net::detached);
        io_.restart();
        io_.run_for(5s);
        return result;
    }

private:
    static net::awaitable<void> run(
        platform::store_client& store, transport::conditional_write request,
        transport::conditional_write_result& result)
    {
        result = co_await store.write(std::move(request), 500ms);
    }

    transport::net::io_context io_;
    transport::http_client http_{io_};
    state::counters counters_;
};

// Guards against ONE: a copy of the response to an earlier write taken for the lease's renewal.
TEST_F(store_client_test, write_answered_with_version_that_it_replaces_is_not_applied)
{
    scripted_server server(
        [](tcp::socket& s)
        {
            scripted_server::read_request_header(s);
            scripted_server::send(s, response(200, 7));
            scripted_server::read_request_header(s);
            scripted_server::send(s, response(200, 7));
        });
    EXPECT_TRUE(std::holds_alternative<write_applied>(write(server, 3)));
    auto const second = write(server, 7);
    ASSERT_TRUE(std::holds_alternative<store_error>(second));
    EXPECT_EQ(std::get<store_error>(second), store_error::unreachable);
}

// Guards against ONE: an error that does not say whether the write was applied.
TEST_F(store_client_test, write_counts_as_refused_only_where_the_store_says_so)
{
    for (auto const& [status, error] :
         {std::pair{503, store_error::refused}, std::pair{429, store_error::refused},
          std::pair{403, store_error::refused}, std::pair{500, store_error::unreachable},
          std::pair{502, store_error::unreachable}, std::pair{504, store_error::unreachable},
          std::pair{600, store_error::unreachable}, std::pair{999, store_error::unreachable}})
    {
        scripted_server server(
            [&](tcp::socket& s)
            {
                scripted_server::read_request_header(s);
                scripted_server::send(s, response(status, 9));
            });
        auto const result = write(server, 3);
        ASSERT_TRUE(std::holds_alternative<store_error>(result)) << status;
        EXPECT_EQ(std::get<store_error>(result), error) << status;
    }
}

} // namespace
} // namespace auburnweir::tests
