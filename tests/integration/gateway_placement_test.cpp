#include "support/deployment.hpp"
#include "support/gateway_deployment.hpp"

#include <gtest/gtest.h>
#include <numeric>
#include <thread>

namespace auburnweir::tests
{
namespace
{

using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;

/// Gateways before four servers: the first and the third in `domain-1` of the region `east`, the
/// others in `domain-2` of the region `west`.
class gateway_placement_test : public testing::Test
{
protected:
    static constexpr auto pause = 20ms;
    static constexpr auto configuration_bound = 3000ms;
    static constexpr auto evacuation_bound = 5000ms;
    static constexpr int gateways = 2;

    static gateway_deployment_plan plan()
    {
        gateway_deployment_plan p;
        p.gateways = gateways;
        p.backends = 4;
        p.failure_domains = 2;
        p.proxied = true;
        p.settings = {{"domain_regions", "domain-1:east,domain-2:west"}, {"watch_wait_ms", "1000"}};
        return p;
    }

    received_response send(std::string const& path, int gateway)
    {
        return system.send_request(path, "p" + std::to_string(++sent_), {}, gateway);
    }

    /// Sends requests to the gateways in turn. @return statuses with their numbers
    std::map<int, int> send_for(
        std::chrono::milliseconds time, std::string const& path,
        std::vector<int> const& to = {0, 1})
    {
        std::map<int, int> statuses;
        for (auto const end = clock::now() + time; clock::now() < end;
             std::this_thread::sleep_for(pause))
            ++statuses[send(path, to.at(sent_ % to.size())).status];
        return statuses;
    }

    std::size_t runs_at(std::vector<int> const& backends)
    {
        std::size_t sum = 0;
        for (auto const i : backends)
            sum += call(system.backend(i).port(), "GET", "/runs").parsed()["runs"].size();
        return sum;
    }

    std::size_t runs_in_east() { return runs_at({0, 2}); }
    std::size_t runs_in_west() { return runs_at({1, 3}); }

    void evacuate_west() { system.write_operator_row("evacuate/domain-2", json::object()); }

    bool has_evacuated(int gateway)
    {
        return system.counter(gateway, "auburnweir_evacuated_domains") > 0;
    }

    bool holds_duties(int gateway)
    {
        auto const port = system.gateway(gateway).port("metrics");
        return call(port, "GET", "/status").parsed().value("holds_duties", false);
    }

    gateway_deployment system{plan()};

private:
    std::size_t sent_ = 0;
};

// Guards against REGION: a retry, a resumed stream or a redistributed request leaves the region.
TEST_F(gateway_placement_test, restricted_requests_never_reach_another_region)
{
    system.configure(
        [](json& c) {
            c["routes"][0]["allowedRegions"] = c["routes"][2]["allowedRegions"] =
                json::array({"east"});
        });
    std::this_thread::sleep_for(configuration_bound);
    auto const before = runs_in_west();
    EXPECT_EQ(send_for(1s, "/safe/x").count(503), 0U);
    EXPECT_EQ(runs_in_west(), before);

    gateway_deployment::control(system.backend(0), {{"status", 500}, {"cut_after", 2}});
    gateway_deployment::control(system.backend(2), {{"status", 500}, {"cut_after", 2}});
    send_for(1s, "/safe/x");
    send_for(1s, "/stream/x");
    for (int i : {0, 2})
        gateway_deployment::control(system.backend(i), {{"not_run", true}});
    send_for(1s, "/safe/x");
    EXPECT_EQ(runs_in_west(), before);
    EXPECT_GT(send_for(1s, "/once/x").at(200), 0);
    EXPECT_GT(runs_in_west(), before);
}

// Guards against REGION: requests run anywhere when no server is permitted, or the list is odd.
TEST_F(gateway_placement_test, requests_without_permitted_server_are_refused_and_not_run)
{
    for (json const& regions : {json("east"), json::array({"north"}), json::array({"east", 7})})
    {
        system.configure([&](json& c) { c["routes"][0]["allowedRegions"] = regions; });
        EXPECT_TRUE(eventually(
            [&] { return send("/safe/x", 0).status == 503 && send("/safe/x", 1).status == 503; },
            3000));
        auto const before = runs_in_east() + runs_in_west();
        for (int i = 0; i < gateways; ++i)
        {
            auto const refused = send("/safe/x", i);
            EXPECT_EQ(refused.status, 503);
            EXPECT_EQ(refused.reason(), "no_permitted_backend");
            EXPECT_EQ(refused.run_outcome(), "not_run");
            EXPECT_GT(std::stod(refused.header("Retry-After")), 0.0);
        }
        EXPECT_EQ(runs_in_east() + runs_in_west(), before);
        EXPECT_EQ(send("/once/x", 0).status, 200);
    }
}

// Guards against EVACUATE: requests go to the domain after the bound, or never again.
TEST_F(gateway_placement_test, evacuated_domain_gets_no_requests_until_its_row_is_removed)
{
    evacuate_west();
    EXPECT_TRUE(eventually([&] { return has_evacuated(0) && has_evacuated(1); }, 5000));
    for (int i = 0; i < gateways; ++i)
        EXPECT_EQ(system.counter(i, "auburnweir_domains_evacuated_total"), 1);
    auto before = runs_in_west();
    EXPECT_EQ(send_for(2s, "/safe/x").size(), 1U);
    EXPECT_EQ(runs_in_west(), before);

    // A started gateway sends nothing there either.
    system.gateway(1).kill();
    system.start_gateway(1);
    send_for(3s, "/safe/x", {1});
    EXPECT_EQ(runs_in_west(), before);

    system.write_operator_row("evacuate/domain-1", json::object());
    EXPECT_TRUE(
        eventually([&] { return send("/safe/x", 0).reason() == "no_permitted_backend"; }, 5000));
    EXPECT_EQ(runs_in_west(), before);
    system.remove_operator_row("evacuate/domain-2");
    EXPECT_TRUE(eventually(
        [&]
        {
            before = runs_in_east();
            return send_for(300ms, "/safe/x").size() == 1 && runs_in_east() == before;
        },
        5000));
    EXPECT_GT(runs_in_west(), 0U);
    EXPECT_EQ(system.counter(0, "auburnweir_domains_returned_total"), 1);
    EXPECT_GT(system.counter(0, "auburnweir_refusals_total{reason=\"no_permitted_backend\"}"), 0);
}

// Guards against EVACUATE: a gateway that the store refuses hears of nothing.
TEST_F(gateway_placement_test, evacuation_reaches_gateway_that_the_store_refuses_by_the_holder)
{
    int const follower = holds_duties(0) ? 1 : 0;
    system.set_proxy_faults(system.store_proxy_port(follower), {{"refuse", true}, {"cut", true}});
    std::this_thread::sleep_for(1s);
    evacuate_west();
    std::this_thread::sleep_for(evacuation_bound);
    auto const before = runs_in_west();
    EXPECT_EQ(send_for(2s, "/safe/x", {follower}).count(200), 1U);
    EXPECT_EQ(runs_in_west(), before);
    system.remove_operator_row("evacuate/domain-2");
    EXPECT_TRUE(eventually([&] { return !has_evacuated(follower); }, 5000));
}

// Guards against EVACUATE: the copy lacks the row, and the domain is used until it is written
// again.
TEST_F(gateway_placement_test, evacuation_that_restored_store_has_lost_stays_until_doubt_ends)
{
    system.copy_store();
    evacuate_west();
    EXPECT_TRUE(eventually([&] { return has_evacuated(0) && has_evacuated(1); }, 5000));
    auto const before = runs_in_west();
    system.restore_store();
    send_for(2500ms, "/safe/x");
    evacuate_west();
    send_for(5s, "/safe/x");
    EXPECT_EQ(runs_in_west(), before);
    system.remove_operator_row("evacuate/domain-2");
    EXPECT_TRUE(eventually([&] { return !has_evacuated(0) && !has_evacuated(1); }, 6000));
    send_for(1s, "/safe/x");
    EXPECT_GT(runs_in_west(), before);
}

} // namespace
} // namespace auburnweir::tests
