#include "support/deployment.hpp"
#include "support/gateway_deployment.hpp"
#include "support/scripted_server.hpp"
#include "support/temporary_file.hpp"

#include <cstdio>
#include <gtest/gtest.h>

namespace auburnweir::tests
{
namespace
{

class ctl_test : public testing::Test
{
protected:
    static program_result run(std::vector<std::string> words)
    {
        words.insert(words.begin(), program_path("auburnweirctl"));
        return run_program(std::move(words));
    }
};

TEST_F(ctl_test, check_with_several_errors_prints_every_finding_with_its_line)
{
    temporary_file const settings("[gateway]\nid = a b\nworkers = 0\nnonsense = 1\n");
    auto const result = run({"check", settings.path()});
    EXPECT_EQ(result.exit_code, 1);
    EXPECT_NE(result.output.find(":2: gateway.id"), std::string::npos);
    EXPECT_NE(result.output.find(":3: gateway.workers"), std::string::npos);
    EXPECT_NE(result.output.find(":4: gateway.nonsense"), std::string::npos);
    EXPECT_NE(result.output.find("gateway.store: key is missing"), std::string::npos);
}

TEST_F(ctl_test, check_with_json_flag_prints_findings_as_objects)
{
    temporary_file const settings("[gateway]\nworkers = 0\n");
    auto const result = run({"-j", "check", settings.path()});
    auto const body = json::parse(result.output, nullptr, false);
    ASSERT_TRUE(body.is_object());
    EXPECT_EQ(body["findings"][0]["line"], 2);
}

TEST_F(ctl_test, command_line_with_unknown_command_or_missing_argument_is_usage_error)
{
    EXPECT_EQ(run({"dance"}).exit_code, 2);
    EXPECT_EQ(run({"status"}).exit_code, 2);
}

TEST_F(ctl_test, show_at_unreachable_address_fails)
{
    EXPECT_EQ(run({"--at", "127.0.0.1:1", "show"}).exit_code, 1);
}

// Guards against counters that are missing from a page that was cut.
TEST_F(ctl_test, counters_of_page_that_ends_with_its_connection_fail)
{
    scripted_server server(
        [](tcp::socket& s)
        {
            scripted_server::read_request_header(s);
            scripted_server::send(s, "HTTP/1.1 200 OK\r\n\r\nauburnweir_a_total 1\nauburn");
        });
    auto const at = "127.0.0.1:" + std::to_string(server.port());
    EXPECT_EQ(run({"--at", at, "counters"}).exit_code, 1);
}

TEST_F(ctl_test, commands_at_running_gateway_print_its_state)
{
    gateway_deployment system{gateway_deployment_plan{}};
    auto const at = "127.0.0.1:" + std::to_string(system.gateway(0).port("metrics"));
    EXPECT_NE(run({"--at", at, "show"}).output.find("gateway-1"), std::string::npos);
    EXPECT_NE(run({"--at", at, "status", "desk"}).output.find("backend-2"), std::string::npos);
    EXPECT_EQ(run({"--at", at, "status", "nothing"}).exit_code, 1);
    EXPECT_NE(run({"--at", at, "counters"}).output.find("auburnweir_refusals"), std::string::npos);
    EXPECT_EQ(run({"--at", at, "-j", "nodes"}).exit_code, 0);
}

} // namespace
} // namespace auburnweir::tests
