#include "support/deployment.hpp"
#include "support/gateway_deployment.hpp"

#include <csignal>
#include <future>
#include <gtest/gtest.h>

namespace auburnweir::tests
{
namespace
{

class gateway_forward_test : public testing::Test
{
protected:
    gateway_deployment system{gateway_deployment_plan{}};
};

TEST_F(gateway_forward_test, request_on_route_gets_backend_response_with_stamp)
{
    auto const response = system.send_request("/safe/x?q=1", "a1");
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.parsed()["echo"], "order");
    EXPECT_NE(response.header("Auburnweir-Instance-Stamp").find(".a1"), std::string::npos);
}

TEST_F(gateway_forward_test, forged_gateway_headers_are_not_forwarded)
{
    header_list const forged{{"Auburnweir-Tenant", "other"}, {"Kv-From", "1.2.3.4:5/x"},
                             {"Auburnweir-Hold", "h"},       {"X-Own", "kept"},
                             {"Connection", "X-Hop"},        {"X-Hop", "dropped"}};
    system.send_request("/safe/x?q=1", "a2", forged);
    auto const last = system.run_count("a2") > 0 && system.last_request(0).is_object()
                          ? system.last_request(0)
                          : system.last_request(1);
    auto const& headers = last["headers"];
    EXPECT_EQ(last["target"], "/safe/x?q=1");
    EXPECT_FALSE(headers.contains("Auburnweir-Tenant"));
    EXPECT_FALSE(headers.contains("Kv-From"));
    EXPECT_FALSE(headers.contains("Auburnweir-Hold"));
    EXPECT_FALSE(headers.contains("X-Hop"));
    EXPECT_EQ(headers["X-Own"], "kept");
    EXPECT_LE(std::stoi(headers["Auburnweir-Deadline-Ms"].get<std::string>()), 3000);
    EXPECT_TRUE(headers.contains("Auburnweir-Expected-Instance"));
}

TEST_F(gateway_forward_test, request_without_route_is_not_found)
{
    EXPECT_EQ(system.send_request("/nowhere/", "a3").status, 404);
}

TEST_F(gateway_forward_test, request_without_attempt_id_is_refused)
{
    auto const response = call(system.port(), "GET", "/safe/x", {{"Host", "calls.test"}});
    EXPECT_EQ(response.status, 400);
}

TEST_F(gateway_forward_test, request_with_content_length_and_chunked_encoding_is_refused)
{
    auto const response = send_raw(
        system.port(), "POST /safe/x HTTP/1.1\r\nHost: calls.test\r\n"
                       "Auburnweir-Attempt-Id: s1\r\nContent-Length: 4\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    EXPECT_EQ(response.substr(0, 12), "HTTP/1.1 400");
    EXPECT_EQ(system.run_count("s1"), 0);
}

TEST_F(gateway_forward_test, request_with_oversized_body_is_refused_without_running)
{
    std::string const big(70000, 'x');
    auto const response = call(
        system.port(), "POST", "/safe/x", {{"Host", "calls.test"}, {"Auburnweir-Attempt-Id", "b1"}},
        big);
    EXPECT_EQ(response.status, 413);
    EXPECT_EQ(system.run_count("b1"), 0);
}

TEST_F(gateway_forward_test, idempotent_request_after_failure_is_retried_at_another_backend)
{
    gateway_deployment::control(system.backend(0), {{"status", 500}});
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(system.send_request("/safe/x", "f" + std::to_string(i)).status, 200);
}

TEST_F(gateway_forward_test, request_with_one_attempt_after_lost_response_is_not_retried)
{
    gateway_deployment::control(system.backend(0), {{"cut", true}});
    gateway_deployment::control(system.backend(1), {{"cut", true}});
    auto const response = system.send_request("/once/x", "l1");
    EXPECT_EQ(response.status, 502);
    EXPECT_EQ(response.run_outcome(), "outcome_unknown");
    EXPECT_EQ(system.run_count("l1"), 1);
}

TEST_F(gateway_forward_test, request_not_run_by_one_backend_runs_at_another)
{
    gateway_deployment::control(system.backend(0), {{"not_run", true}});
    for (int i = 0; i < 4; ++i)
    {
        auto const id = "n" + std::to_string(i);
        EXPECT_EQ(system.send_request("/once/x", id).status, 200);
        EXPECT_EQ(system.run_count(id), 1);
    }
}

TEST_F(gateway_forward_test, request_not_run_by_any_backend_is_refused_with_retry_after)
{
    gateway_deployment::control(system.backend(0), {{"not_run", true}});
    gateway_deployment::control(system.backend(1), {{"not_run", true}});
    auto const response = system.send_request("/once/x", "r1");
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(response.run_outcome(), "not_run");
    EXPECT_GT(std::stod(response.header("Retry-After")), 0.0);
    EXPECT_EQ(system.run_count("r1"), 0);
}

TEST_F(gateway_forward_test, request_beyond_callers_deadline_times_out)
{
    gateway_deployment::control(system.backend(0), {{"delay_ms", 3000}});
    gateway_deployment::control(system.backend(1), {{"delay_ms", 3000}});
    auto const started_at = std::chrono::steady_clock::now();
    auto const response = system.send_request("/once/x", "t1", {{"Auburnweir-Deadline-Ms", "400"}});
    auto const elapsed = std::chrono::steady_clock::now() - started_at;
    EXPECT_EQ(response.status, 504);
    EXPECT_LT(elapsed, std::chrono::milliseconds{900});
}

TEST_F(gateway_forward_test, resumable_stream_after_cut_continues_after_last_complete_event)
{
    gateway_deployment::control(system.backend(0), {{"cut_after", 4}});
    for (int i = 0; i < 3; ++i)
    {
        auto const response = system.send_request("/stream/x", "s" + std::to_string(i));
        EXPECT_EQ(response.status, 200);
        std::string expected;
        for (int event = 1; event <= 10; ++event)
            expected +=
                "id: " + std::to_string(event) + "\ndata: token-" + std::to_string(event) + "\n\n";
        EXPECT_EQ(response.body, expected);
    }
}

TEST_F(gateway_forward_test, non_resumable_stream_after_cut_ends_incomplete)
{
    gateway_deployment::control(system.backend(0), {{"cut_after", 4}});
    gateway_deployment::control(system.backend(1), {{"cut_after", 4}});
    streamed_answer answer(
        system.port(), "POST", "/flow/stream/x",
        {{"Host", "calls.test"}, {"Auburnweir-Attempt-Id", "c1"}}, "order");
    answer.read_to_end();
    EXPECT_FALSE(answer.is_complete());
    EXPECT_EQ(system.run_count("c1"), 1);
}

TEST_F(gateway_forward_test, silent_stream_without_alternative_is_not_aborted)
{
    // Both backends pause between events for longer than a stream waits while another can resume
    // it.
    for (int i = 0; i < 2; ++i)
        gateway_deployment::control(system.backend(i), {{"event_ms", 1700}, {"events", 2}});
    auto const response =
        system.send_request("/stream/x", "w1", {{"Auburnweir-Deadline-Ms", "8000"}});
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "id: 1\ndata: token-1\n\nid: 2\ndata: token-2\n\n");
}

TEST_F(gateway_forward_test, new_configuration_is_applied_within_bound)
{
    system.configure([](json& c) { c["routes"][0]["prefix"] = "/moved/"; });
    EXPECT_TRUE(
        eventually([&] { return system.send_request("/moved/x", "m1").status == 200; }, 2500));
    EXPECT_EQ(system.send_request("/safe/x", "m2").status, 404);
}

TEST_F(gateway_forward_test, draining_backend_gets_no_requests)
{
    system.list_backend(0, "draining");
    std::this_thread::sleep_for(std::chrono::milliseconds{1200});
    for (int i = 0; i < 6; ++i)
        EXPECT_EQ(
            system.send_request("/safe/x", "d" + std::to_string(i)).parsed()["server"],
            "backend-2");
}

TEST_F(gateway_forward_test, draining_backend_after_many_changes_gets_no_requests)
{
    // A response of the store holds two changes; the directory is read every 0.7 s.
    gateway_deployment::control(system.store(), {{"max_feed_rows", 2}});
    json others = json::array();
    for (int i = 0; i < 9; ++i)
        others.push_back(
            {{"table", "servers"}, {"key", "other-" + std::to_string(i)}, {"value", "{}"}});
    gateway_deployment::control(system.store(), {{"put", others}});
    system.list_backend(0, "draining");
    std::this_thread::sleep_for(std::chrono::milliseconds{1200});
    for (int i = 0; i < 6; ++i)
        EXPECT_EQ(
            system.send_request("/safe/x", "c" + std::to_string(i)).parsed()["server"],
            "backend-2");
}

TEST_F(gateway_forward_test, backend_removed_during_history_drop_gets_no_requests)
{
    system.remove_backend(0);
    gateway_deployment::control(system.store(), {{"drop_history", true}});
    std::this_thread::sleep_for(std::chrono::milliseconds{1200});
    for (int i = 0; i < 6; ++i)
        EXPECT_EQ(
            system.send_request("/safe/x", "h" + std::to_string(i)).parsed()["server"],
            "backend-2");
}

TEST_F(gateway_forward_test, target_version_at_rollout_start_gets_no_requests)
{
    json const order{{"service", "desk"}, {"target", "v2"}, {"durationS", 20}};
    json const row{{"table", "op"}, {"key", "rollout/desk"}, {"value", order.dump()}};
    gateway_deployment::control(system.store(), {{"put", json::array({row})}});
    system.list_backend(0, "ready", "v2");
    std::this_thread::sleep_for(std::chrono::milliseconds{1200});
    for (int i = 0; i < 6; ++i)
        EXPECT_EQ(
            system.send_request("/safe/x", "v" + std::to_string(i)).parsed()["server"],
            "backend-2");
}

TEST_F(gateway_forward_test, unreadable_directory_row_is_ignored)
{
    json const row{{"table", "servers"}, {"key", "foreign"}, {"value", "{\"state\":7"}};
    gateway_deployment::control(system.store(), {{"put", json::array({row})}});
    std::this_thread::sleep_for(std::chrono::milliseconds{1200});
    EXPECT_EQ(system.send_request("/safe/x", "u1").status, 200);
}

// Guards against LOST: one odd row ends the gateways that read the directory, or stops its watch.
TEST_F(gateway_forward_test, odd_directory_rows_are_ignored_and_later_rows_are_followed)
{
    constexpr std::size_t nesting = 20000;
    auto const row_with = [](std::string const& field, std::string const& value)
    {
        std::map<std::string, std::string> fields{
            {"service", "\"desk\""},  {"address", "\"127.0.0.1:9\""},
            {"zone", "\"domain-1\""}, {"version", "\"v1\""},
            {"slots", "8"},           {"state", "\"ready\""},
            {"coldRemainingMs", "0"}, {"sequence", "1"},
            {"born", "1000"}};
        fields[field] = value;
        std::string text;
        for (auto const& [name, content] : fields)
            text += (text.empty() ? "{\"" : ",\"") + name + "\":" + content;
        return text + "}";
    };
    std::vector<std::string> const values{
        std::string(nesting, '[') + std::string(nesting, ']'),
        std::string(nesting, '['),
        row_with("more", std::string(nesting, '[') + std::string(nesting, ']')),
        row_with("slots", "1e999"),
        row_with("slots", "9223372036854775807"),
        row_with("slots", "18446744073709551616"),
        row_with("slots", "-1"),
        row_with("born", "1e400"),
        row_with("born", "-9223372036854775808"),
        row_with("born", "1.5"),
        row_with("address", "\"127.0.0.1:99999\""),
        row_with("address", "\"127.0.0.1:0\""),
        row_with("address", "\"127.0.0.1:-1\""),
        row_with("address", "\"[::::1]:80\""),
        row_with("address", "[]"),
        row_with("state", "{}")};
    auto rows = json::array();
    for (auto const& value : values)
        rows.push_back(
            {{"table", "servers"},
             {"key", "odd-" + std::to_string(rows.size())},
             {"value", value}});
    rows.push_back(
        {{"table", "servers"}, {"key", "odd\r\nX: 1"}, {"value", row_with("version", "\"v1\"")}});
    auto const pid = system.gateway(0).pid();
    gateway_deployment::control(system.store(), {{"put", rows}});
    std::this_thread::sleep_for(std::chrono::milliseconds{1200});
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(system.send_request("/safe/x", "u" + std::to_string(i)).status, 200);
    EXPECT_EQ(system.counter(0, "auburnweir_retries_total{reason=\"connect_failed\"}"), 0);
    system.list_backend(0, "draining");
    std::this_thread::sleep_for(std::chrono::milliseconds{2500});
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(
            system.send_request("/safe/x", "w" + std::to_string(i)).parsed()["server"],
            "backend-2");
    EXPECT_EQ(system.gateway(0).pid(), pid);
}

// Guards against LOST: a request that comes late in a planned stop is passed on and then cut.
TEST_F(gateway_forward_test, requests_late_in_a_stop_are_refused_on_kept_and_new_connections)
{
    caller_session kept;
    header_list const headers{{"Host", "calls.test"}, {"Auburnweir-Attempt-Id", "k0"}};
    EXPECT_EQ(kept.call(system.port(), "POST", "/once/x", headers, "order").status, 200);
    system.gateway(0).signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds{4500});
    for (int i = 0; i < 10; ++i)
    {
        auto const id = "n" + std::to_string(i);
        auto const late = system.send_request("/once/x", id);
        EXPECT_TRUE(late.status == 503 || late.status == 0) << late.status;
        EXPECT_EQ(system.run_count(id), 0);
        std::this_thread::sleep_for(std::chrono::milliseconds{100});
    }
    auto late_headers = headers;
    late_headers.back().second = "k1";
    auto const late = kept.call(system.port(), "POST", "/once/x", late_headers, "order");
    EXPECT_TRUE(late.status == 503 || late.status == 0) << late.status;
    EXPECT_EQ(system.run_count("k1"), 0);
}

TEST_F(gateway_forward_test, incomplete_request_at_gateway_stop_is_refused)
{
    std::vector<std::string> const chunks{
        "POST /once/x HTTP/1.1\r\nHost: calls.test\r\nAuburnweir-Attempt-Id: b1\r\n"
        "Content-Length: 5\r\n\r\nor",
        "der"};
    // The gateway accepts requests for 3.5 s after the signal and has no other request in progress.
    constexpr int pause_ms = 4200;
    auto received = std::async(
        std::launch::async, [&] { return send_raw(system.port(), chunks, pause_ms, 3000); });
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    system.gateway(0).signal(SIGTERM);
    EXPECT_EQ(received.get().substr(0, 12), "HTTP/1.1 503");
    EXPECT_EQ(system.run_count("b1"), 0);
}

TEST_F(gateway_forward_test, stopping_gateway_finishes_early_requests_and_refuses_late_ones)
{
    gateway_deployment::control(system.backend(0), {{"delay_ms", 2500}});
    gateway_deployment::control(system.backend(1), {{"delay_ms", 2500}});
    caller_session session;
    header_list headers{{"Host", "calls.test"}, {"Auburnweir-Attempt-Id", "g0"}};
    gateway_deployment::control(system.backend(0), {{"delay_ms", 0}});
    gateway_deployment::control(system.backend(1), {{"delay_ms", 0}});
    EXPECT_EQ(session.call(system.port(), "POST", "/once/x", headers, "order").status, 200);
    gateway_deployment::control(system.backend(0), {{"delay_ms", 2500}});
    gateway_deployment::control(system.backend(1), {{"delay_ms", 2500}});
    system.gateway(0).signal(SIGTERM);
    // The gateway handles the signal shortly after it is sent; readiness probes are 1 s apart.
    EXPECT_TRUE(eventually([&] { return !system.ready(0); }, 500));
    auto early =
        std::async(std::launch::async, [&] { return system.send_request("/once/x", "g1"); });
    std::this_thread::sleep_for(std::chrono::milliseconds{4000});
    headers.back().second = "g2";
    auto const late = session.call(system.port(), "POST", "/once/x", headers, "order");
    EXPECT_EQ(early.get().status, 200);
    // The request is refused, or its connection is closed before it is read; no response is cut.
    EXPECT_TRUE(late.status == 503 || late.status == 0);
    EXPECT_EQ(system.run_count("g2"), 0);
    EXPECT_EQ(system.gateway(0).wait_for_exit(8000), 0);
}

} // namespace
} // namespace auburnweir::tests
