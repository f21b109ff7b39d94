#include "support/deployment.hpp"
#include "support/gateway_deployment.hpp"

#include <gtest/gtest.h>
#include <thread>

namespace auburnweir::tests
{
namespace
{

using cut_kind = gateway_deployment::cut_kind;

/// Three gateways, of which the first is cut off from backend servers that the others reach.
class gateway_cut_test : public testing::Test
{
protected:
    static constexpr int gateways = 3;
    static constexpr int backends = 3;
    static constexpr int cut_gateway = 0;

    /// After which a gateway that is cut off has to serve its callers again.
    static constexpr auto recovery_bound = std::chrono::milliseconds{4000};

    static gateway_deployment_plan plan()
    {
        gateway_deployment_plan result;
        result.gateways = gateways;
        result.backends = backends;
        result.proxied = true;
        result.may_be_cut = true;
        return result;
    }

    /// Cuts the first gateway off while callers go on asking it, for the time in which it may fail.
    void cut_and_wait(cut_kind kind)
    {
        system.cut_off(cut_gateway, kind);
        auto const until = std::chrono::steady_clock::now() + recovery_bound;
        for (int i = 0; std::chrono::steady_clock::now() < until; ++i)
        {
            system.send_request("/safe/x", "early" + std::to_string(i));
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
        }
    }

    /// Number of requests of `count` that are served at the first attempt.
    int served(std::string const& path, std::string const& prefix, int count)
    {
        int result = 0;
        for (int i = 0; i < count; ++i)
            result += system.send_request(path, prefix + std::to_string(i)).status == 200 ? 1 : 0;
        return result;
    }

    double sum_of_counters(std::string const& name)
    {
        double sum = 0;
        for (int i = 0; i < gateways; ++i)
            sum += system.counter(i, name);
        return sum;
    }

    gateway_deployment system{plan()};
};

// RECOVER: callers of a gateway that had lost its links to all servers were refused.
TEST_F(gateway_cut_test, request_at_gateway_whose_connections_are_refused_is_served)
{
    cut_and_wait(cut_kind::refused);
    EXPECT_EQ(served("/safe/x", "s", 20), 20);
}

TEST_F(gateway_cut_test, request_at_gateway_whose_connections_get_no_answer_is_served)
{
    cut_and_wait(cut_kind::dropped);
    EXPECT_EQ(served("/safe/x", "s", 20), 20);
}

// CONFIG: requests on routes that were added while the gateway was cut off were never served.
TEST_F(gateway_cut_test, request_on_route_added_during_cut_is_served)
{
    cut_and_wait(cut_kind::refused);
    system.configure([&](json& c) { c["routes"].push_back(system.route("added", "safe", 2)); });
    EXPECT_TRUE(
        eventually([&] { return system.send_request("/added/x", "a").status == 200; }, 3000));
    EXPECT_EQ(served("/added/x", "b", 20), 20);
}

TEST_F(gateway_cut_test, relayed_request_that_may_run_once_runs_once)
{
    cut_and_wait(cut_kind::refused);
    for (int i = 0; i < 20; ++i)
    {
        auto const id = "o" + std::to_string(i);
        EXPECT_EQ(system.send_request("/once/x", id).status, 200);
        EXPECT_EQ(system.run_count(id), 1);
    }
    EXPECT_GE(system.counter(cut_gateway, "auburnweir_attempts_relayed_total"), 20);
}

// The outcome of a relayed request is unknown when its server breaks it off.
TEST_F(gateway_cut_test, relayed_request_that_the_server_breaks_off_is_not_said_to_have_not_run)
{
    cut_and_wait(cut_kind::refused);
    for (int i = 0; i < backends; ++i)
        gateway_deployment::control(system.backend(i), {{"cut", true}});
    for (int i = 0; i < 5; ++i)
    {
        auto const id = "c" + std::to_string(i);
        auto const response = system.send_request("/once/x", id);
        EXPECT_EQ(response.status, 502);
        EXPECT_EQ(response.run_outcome(), "outcome_unknown");
        EXPECT_EQ(system.run_count(id), 1);
    }
}

TEST_F(gateway_cut_test, relayed_refusal_of_the_servers_is_not_run_and_may_be_retried)
{
    cut_and_wait(cut_kind::refused);
    for (int i = 0; i < backends; ++i)
        gateway_deployment::control(
            system.backend(i), {{"not_run", true}, {"names_refusals", true}});
    auto const response = system.send_request("/once/x", "n");
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(response.run_outcome(), "not_run");
    EXPECT_EQ(system.run_count("n"), 0);
}

TEST_F(gateway_cut_test, relayed_stream_arrives_event_by_event)
{
    cut_and_wait(cut_kind::refused);
    auto const response = system.send_request("/flow/stream/x", "f");
    EXPECT_EQ(response.status, 200);
    EXPECT_NE(response.body.find("id: 10\ndata: token-10\n\n"), std::string::npos);
    EXPECT_EQ(response.header("Relayed-From"), "");
}

TEST_F(gateway_cut_test, relayed_stream_that_breaks_off_resumes)
{
    cut_and_wait(cut_kind::refused);
    gateway_deployment::control(system.backend(0), {{"cut_after", 4}});
    for (int i = 0; i < 6; ++i)
    {
        auto const response = system.send_request("/stream/x", "r" + std::to_string(i));
        EXPECT_EQ(response.status, 200);
        EXPECT_NE(response.body.find("id: 10\ndata: token-10\n\n"), std::string::npos);
    }
}

// MIXED: the end of a body without a length must not look complete when it was broken off.
TEST_F(gateway_cut_test, relayed_stream_without_a_length_that_breaks_off_is_not_complete)
{
    cut_and_wait(cut_kind::refused);
    for (int i = 0; i < backends; ++i)
        gateway_deployment::control(system.backend(i), {{"unframed", true}, {"cut_after", 4}});
    auto const response = system.send_request("/flow/stream/x", "u");
    EXPECT_NE(response.status, 200);
}

// GONE: the server must not work on for a caller that has left.
TEST_F(gateway_cut_test, relayed_stream_ends_when_its_caller_leaves)
{
    cut_and_wait(cut_kind::refused);
    for (int i = 0; i < backends; ++i)
        gateway_deployment::control(system.backend(i), {{"events", 10000}, {"event_ms", 20}});
    header_list const headers{
        {"Host", "calls.test"},
        {"Auburnweir-Attempt-Id", "g"},
        {"Auburnweir-Deadline-Ms", "60000"}};
    constexpr int patience_ms = 400;
    call(system.port(cut_gateway), "POST", "/flow/stream/x", headers, "order", patience_ms);
    auto const in_progress = [this]
    {
        double sum = 0;
        for (int i = 0; i < gateways; ++i)
            sum += system.counter(i, "auburnweir_relayed_requests_in_progress");
        return sum;
    };
    EXPECT_TRUE(eventually([&] { return in_progress() == 0; }, 500));
}

TEST_F(gateway_cut_test, what_servers_say_in_relayed_answers_binds_both_gateways)
{
    cut_and_wait(cut_kind::refused);
    gateway_deployment::control(system.backend(0), {{"statements", {{"Server-Leaving", "1"}}}});
    ASSERT_TRUE(eventually(
        [&]
        {
            system.send_request("/safe/x", "l");
            return system.counter(cut_gateway, "auburnweir_backends_said_leaving_total") == 1;
        },
        3000));
    EXPECT_GE(sum_of_counters("auburnweir_backends_said_leaving_total"), 2);
    auto const runs = [this]
    { return call(system.backend(0).port(), "GET", "/runs").parsed()["runs"].size(); };
    auto const before = runs();
    EXPECT_EQ(served("/safe/x", "m", 20), 20);
    EXPECT_EQ(runs(), before);
}

// Requests that a cut breaks off must not be taken for ones that crash servers.
TEST_F(gateway_cut_test, requests_that_the_cut_breaks_off_are_no_evidence_of_crashes)
{
    for (int i = 0; i < backends; ++i)
        gateway_deployment::control(system.backend(i), {{"delay_ms", 600}});
    std::vector<std::thread> callers;
    for (int i = 0; i < 12; ++i)
        callers.emplace_back([this, i]
                             { system.send_request("/safe/x", "b" + std::to_string(i)); });
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    system.cut_off(cut_gateway, cut_kind::refused);
    for (auto& caller : callers)
        caller.join();
    std::this_thread::sleep_for(std::chrono::milliseconds{2500});
    EXPECT_EQ(sum_of_counters("auburnweir_backend_crashes_seen_total"), 0);
}

TEST_F(gateway_cut_test, gateway_sends_directly_soon_after_the_cut_has_healed)
{
    cut_and_wait(cut_kind::refused);
    system.heal(cut_gateway);
    std::this_thread::sleep_for(std::chrono::milliseconds{1500});
    auto const relayed = system.counter(cut_gateway, "auburnweir_attempts_relayed_total");
    EXPECT_EQ(served("/safe/x", "h", 20), 20);
    EXPECT_EQ(system.counter(cut_gateway, "auburnweir_attempts_relayed_total"), relayed);
}

TEST_F(gateway_cut_test, gateway_that_reaches_one_server_uses_it_directly)
{
    system.cut_off(cut_gateway, cut_kind::refused, {0, 1});
    served("/safe/x", "w", 20);
    EXPECT_EQ(served("/safe/x", "p", 20), 20);
    EXPECT_EQ(system.counter(cut_gateway, "auburnweir_attempts_relayed_total"), 0);
}

TEST_F(gateway_cut_test, request_that_no_gateway_can_send_is_refused_at_once)
{
    for (int i = 1; i < gateways; ++i)
        system.cut_off(i, cut_kind::refused);
    cut_and_wait(cut_kind::refused);
    auto const began_at = std::chrono::steady_clock::now();
    auto const response = system.send_request("/once/x", "z");
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(response.run_outcome(), "not_run");
    EXPECT_LT(std::chrono::steady_clock::now() - began_at, std::chrono::milliseconds{500});
}

// Peers are killed while they relay; the others take over.
TEST_F(gateway_cut_test, requests_are_served_after_a_peer_is_killed)
{
    cut_and_wait(cut_kind::refused);
    system.gateway(gateways - 1).kill();
    std::this_thread::sleep_for(std::chrono::milliseconds{1000});
    EXPECT_EQ(served("/safe/x", "k", 20), 20);
}

TEST_F(gateway_cut_test, stranger_at_the_relay_door_is_refused)
{
    auto const port = system.gateway(1).port("relay");
    header_list headers{{"Host", "calls.test"}, {"Auburnweir-Attempt-Id", "t"}};
    EXPECT_EQ(call(port, "POST", "/safe/x", headers, "order").status, 403);
    headers.emplace_back("Relay-Attempt", "gateway-1,backend-1,once,1,0123456789abcdef");
    EXPECT_EQ(call(port, "POST", "/safe/x", headers, "order").status, 403);
    EXPECT_EQ(system.run_count("t"), 0);
}

} // namespace
} // namespace auburnweir::tests
