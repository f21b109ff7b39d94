#include "platform/cloud_client.hpp"
#include "support/scripted_server.hpp"

#include <gtest/gtest.h>

namespace auburnweir::tests
{
namespace
{

using namespace std::chrono_literals;
using transport::duty_result;

std::string response(int status)
{
    return "HTTP/1.1 " + std::to_string(status) + " Any\r\nContent-Length: 0\r\n\r\n";
}

/// A client of a platform whose responses a test scripts.
class cloud_client_test : public testing::Test
{
protected:
    duty_result report(scripted_server& server)
    {
        platform::cloud_client cloud(http_, {"127.0.0.1", server.port()});
        auto result = duty_result::unknown;
        net::co_spawn(io_, run(cloud, result), net::detached);
        io_.restart();
        io_.run_for(5s);
        return result;
    }

private:
    static net::awaitable<void> run(platform::cloud_client& cloud, duty_result& result)
    {
        state::lease_record const lease{};
        result = co_await cloud.report_usage(lease, state::window_number{1}, {}, 500ms);
    }

    transport::net::io_context io_;
    transport::http_client http_{io_};
};

// Guards against "nothing was done" concluded from an error that does not say so.
TEST_F(cloud_client_test, call_counts_as_refused_only_where_the_platform_says_so)
{
    for (auto const& [status, expected] :
         {std::pair{200, duty_result::accepted}, std::pair{409, duty_result::unavailable},
          std::pair{429, duty_result::refused}, std::pair{403, duty_result::refused},
          std::pair{503, duty_result::refused}, std::pair{500, duty_result::unknown},
          std::pair{502, duty_result::unknown}, std::pair{504, duty_result::unknown},
          std::pair{600, duty_result::unknown}, std::pair{999, duty_result::unknown}})
    {
        scripted_server server(
            [&](tcp::socket& s)
            {
                scripted_server::read_request_header(s);
                scripted_server::send(s, response(status));
            });
        EXPECT_EQ(report(server), expected) << status;
    }
}

// Guards against usage that is never reported: a copy of an earlier response taken for acceptance.
TEST_F(cloud_client_test, call_after_repeated_response_gets_its_own)
{
    int connections = 0;
    scripted_server server(
        [&](tcp::socket& s)
        {
            auto const own = response(++connections == 1 ? 200 : 429);
            scripted_server::read_request_header(s);
            scripted_server::send(s, own);
            scripted_server::read_request_header(s);
            scripted_server::send(s, own);
        });
    EXPECT_EQ(report(server), duty_result::accepted);
    EXPECT_EQ(report(server), duty_result::refused);
}

} // namespace
} // namespace auburnweir::tests
