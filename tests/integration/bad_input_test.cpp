#include "support/deployment.hpp"
#include "support/temporary_file.hpp"

#include <gtest/gtest.h>
#include <random>

/// Invalid input is refused with a reason and changes no state, and the process keeps running.

namespace auburnweir::tests
{
namespace
{

class bad_input_test : public testing::Test
{
protected:
    static void SetUpTestSuite()
    {
        deployment_plan plan;
        plan.entries = 1;
        plan.engines = 1;
        plan.services = 1;
        plan.entry_settings = {
            {"header_limit", "4096"},
            {"body_limit", "65536"},
            {"header_timeout_ms", "500"},
            {"body_timeout_ms", "500"}};
        system = std::make_unique<deployment>(plan);
    }

    static void TearDownTestSuite() { system.reset(); }

    ~bad_input_test() override { EXPECT_EQ(call(port(), "GET", "/health").status, 200); }

    static std::uint16_t port() { return system->entry_port(0); }

    static received_response send_chat(std::string body, header_list headers = with_bearer_token())
    {
        return call(port(), "POST", "/v1/chat/completions", std::move(headers), std::move(body));
    }

    static bool raw_response_contains(std::string const& bytes, std::string const& text)
    {
        return send_raw(port(), bytes).find(text) != std::string::npos;
    }

    static std::unique_ptr<deployment> system;
};

std::unique_ptr<deployment> bad_input_test::system;

TEST_F(bad_input_test, malformed_http_is_refused)
{
    EXPECT_TRUE(raw_response_contains("NONSENSE\r\n\r\n", "malformed_request"));
}

TEST_F(bad_input_test, oversized_header_is_refused)
{
    auto const bytes = "GET /health HTTP/1.1\r\nX: " + std::string(8000, 'x') + "\r\n\r\n";
    EXPECT_TRUE(raw_response_contains(bytes, "header_too_large"));
}

TEST_F(bad_input_test, oversized_body_is_refused)
{
    auto const response = send_chat(std::string(100000, 'x'));
    EXPECT_EQ(response.status, 413);
    EXPECT_EQ(response.reason(), "body_too_large");
}

TEST_F(bad_input_test, slow_request_is_refused)
{
    EXPECT_TRUE(raw_response_contains("GET /health HTT", "sender_too_slow"));
    EXPECT_TRUE(raw_response_contains(
        "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\n{", "sender_too_slow"));
}

TEST_F(bad_input_test, malformed_json_is_refused)
{
    for (auto const* body :
         {"{", "[]", "{\"model\":1}", "{\"model\":\"assistant\"}",
          "{\"model\":\"assistant\",\"messages\":[{\"role\":\"u\"}]}"})
    {
        auto const response = send_chat(body);
        EXPECT_EQ(response.status, 400) << body;
        EXPECT_EQ(response.reason(), "malformed_request") << body;
        EXPECT_EQ(response.run_outcome(), "not_run") << body;
    }
}

TEST_F(bad_input_test, deeply_nested_json_is_refused)
{
    EXPECT_EQ(send_chat(std::string(60000, '[')).status, 400);
}

TEST_F(bad_input_test, missing_or_wrong_token_is_refused)
{
    EXPECT_EQ(send_chat(chat_body("x", 1, false), {}).status, 401);
    auto const response = send_chat(chat_body("x", 1, false), {{"Authorization", "Bearer guess"}});
    EXPECT_EQ(response.reason(), "unauthorised");
}

TEST_F(bad_input_test, unknown_service_operation_or_request_is_refused)
{
    EXPECT_EQ(
        send_chat(R"({"model":"gone","messages":[{"role":"u","content":"c"}]})").reason(),
        "unknown_service");
    auto const post = [](std::string const& target)
    { return call(port(), "POST", target, with_bearer_token(), "x").reason(); };
    EXPECT_EQ(post("/v1/services/gone/book"), "unknown_service");
    EXPECT_EQ(post("/v1/services/assistant/book"), "unknown_service");
    EXPECT_EQ(post("/v1/services/booking/steal"), "unknown_operation");
    EXPECT_EQ(post("/nowhere"), "unknown_operation");
    EXPECT_EQ(
        call(port(), "GET", "/v1/requests/none", with_bearer_token()).reason(), "unknown_request");
}

TEST_F(bad_input_test, invalid_header_values_are_refused)
{
    for (auto const& [name, value] :
         header_list{{"X-Deadline-Ms", "soon"}, {"X-Priority", "now"}, {"X-Request-Id", "a b"}})
        EXPECT_EQ(
            send_chat(chat_body("x", 1, false), with_bearer_token({{name, value}})).status, 400)
            << name;
}

TEST_F(bad_input_test, process_after_random_bytes_still_runs)
{
    std::mt19937 random(11);
    for (int i = 0; i < 40; ++i)
    {
        std::string bytes = i % 2 ? "POST /v1/chat/completions HTTP/1.1\r\n" : "";
        for (int n = 0; n < 200; ++n)
            bytes += static_cast<char>(random());
        send_raw(port(), bytes + "\r\n\r\n", 100);
    }
    EXPECT_GT(system->counter(0, "auburnweir_refusals_total{reason=\"malformed_request\"}"), 0);
}

TEST_F(bad_input_test, unauthenticated_peer_connection_is_closed)
{
    auto const peer = system->entry(0).port("peers");
    auto const answer = send_raw(
        peer, "GET /peer HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
              "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
              "\x82\x85\x01\x02\x03\x04\x05\x06\x07\x08\x09");
    EXPECT_NE(answer.find("101"), std::string::npos);
    EXPECT_NE(answer.find("\x88"), std::string::npos);
}

TEST(program_test, check_config_with_several_errors_reports_all_findings)
{
    temporary_file const settings("[entry]\nid = e\nworkers = many\nwings = 2\n");
    auto const run =
        run_program({program_path("auburnweir-entry"), "--check-config", "-s", settings.path()});
    EXPECT_EQ(run.exit_code, 1);
    EXPECT_NE(run.output.find(":3: entry.workers"), std::string::npos) << run.output;
    EXPECT_NE(run.output.find(":4: entry.wings: unknown key"), std::string::npos) << run.output;
    EXPECT_NE(run.output.find("entry.peer_key: key is missing"), std::string::npos);
}

TEST(program_test, help_version_and_unknown_option_set_exit_code)
{
    EXPECT_EQ(run_program({program_path("auburnweir-entry"), "--help"}).exit_code, 0);
    auto const run = run_program({program_path("auburnweir-entry"), "--version"});
    EXPECT_EQ(run.output.rfind("auburnweir-entry ", 0), 0U);
    EXPECT_EQ(run_program({program_path("auburnweir-entry"), "--nonsense"}).exit_code, 2);
}

} // namespace
} // namespace auburnweir::tests
