#include "support/deployment.hpp"
#include "support/gateway_deployment.hpp"

#include <csignal>
#include <gtest/gtest.h>
#include <set>

namespace auburnweir::tests
{
namespace
{

json organisation(std::string const& name, std::string const& key, double rate)
{
    return {{"name", name}, {"apiKeys", json::array({key})}, {"ratePerS", rate}, {"burst", rate}};
}

header_list with_key(std::string const& key)
{
    return {{"Authorization", "Token " + key}};
}

/// Three gateways that share an organisation's limit and the duties.
class gateway_shared_test : public testing::Test
{
protected:
    static gateway_deployment_plan plan()
    {
        gateway_deployment_plan p;
        p.gateways = 3;
        p.organisations =
            json::array({organisation("acme", "key-1", 40), organisation("other", "key-2", 0)});
        p.settings = {{"usage_window_s", "1"}};
        return p;
    }

    int holder()
    {
        for (int i = 0; i < 3; ++i)
        {
            if (system.gateway(i).pid() <= 0)
                continue;
            auto const port = system.gateway(i).port("metrics");
            if (call(port, "GET", "/status").parsed().value("holds_duties", false))
                return i;
        }
        return -1;
    }

    gateway_deployment system{plan()};
};

TEST_F(gateway_shared_test, request_without_a_known_key_is_unauthorised)
{
    EXPECT_EQ(system.send("/once/x", "k1").status, 401);
    EXPECT_EQ(system.send("/once/x", "k2", with_key("nobody's")).status, 401);
    EXPECT_EQ(system.runs("k1") + system.runs("k2"), 0);
}

TEST_F(gateway_shared_test, request_with_a_key_carries_its_organisation_and_not_the_key)
{
    EXPECT_EQ(system.send("/once/x", "k3", with_key("key-2")).status, 200);
    auto last = system.last_request(0);
    if (!last.is_object())
        last = system.last_request(1);
    EXPECT_EQ(last["headers"]["Auburnweir-Tenant"], "other");
    EXPECT_FALSE(last["headers"].contains("Authorization"));
}

TEST_F(gateway_shared_test, key_that_was_withdrawn_runs_nothing_within_the_bound)
{
    system.configure([](json& c) { c["tenants"][1]["apiKeys"] = json::array(); });
    EXPECT_TRUE(eventually(
        [&] { return system.send("/once/x", "w1", with_key("key-2")).status == 401; }, 3000));
}

TEST_F(gateway_shared_test, keyed_request_while_the_store_is_away_beyond_the_bound_is_refused)
{
    gateway_deployment::control(system.store(), {{"down", true}});
    std::this_thread::sleep_for(std::chrono::milliseconds{5200});
    auto const got = system.send("/once/x", "o1", with_key("key-2"));
    EXPECT_EQ(got.status, 503);
    EXPECT_EQ(got.reason(), "configuration_stale");
    EXPECT_FALSE(system.ready(0));
    gateway_deployment::control(system.store(), {{"down", false}});
    EXPECT_TRUE(eventually(
        [&] { return system.send("/once/x", "o2", with_key("key-2")).status == 200; }, 3000));
}

TEST_F(gateway_shared_test, history_that_is_dropped_under_a_held_watch_leaves_all_ready)
{
    gateway_deployment::control(system.store(), {{"drop_history", true}});
    std::this_thread::sleep_for(std::chrono::milliseconds{5000});
    for (int i = 0; i < 3; ++i)
    {
        EXPECT_TRUE(system.ready(i));
        auto const id = "d" + std::to_string(i);
        EXPECT_EQ(system.send("/once/x", id, with_key("key-2"), i).status, 200);
    }
}

TEST_F(gateway_shared_test, late_answer_of_a_held_watch_does_not_make_an_instance_ready)
{
    gateway_deployment::control(system.store(), {{"down", true}});
    std::this_thread::sleep_for(std::chrono::milliseconds{4500});
    EXPECT_FALSE(system.ready(0));
    // The watch was asked for before the outage, and what it says is as old.
    json const row{{"table", "op"}, {"key", "unrelated"}, {"value", "{}"}};
    gateway_deployment::control(system.store(), {{"put", json::array({row})}});
    std::this_thread::sleep_for(std::chrono::milliseconds{300});
    EXPECT_FALSE(system.ready(0));
}

TEST_F(gateway_shared_test, limit_of_an_organisation_holds_over_all_gateways)
{
    int granted = 0;
    auto const until = std::chrono::steady_clock::now() + std::chrono::seconds{3};
    for (int i = 0; std::chrono::steady_clock::now() < until; ++i)
    {
        auto const id = "q" + std::to_string(i);
        if (system.send("/safe/x", id, with_key("key-1"), i % 3).status == 200)
            ++granted;
    }
    // Three seconds of the limit and its burst, and a tenth.
    EXPECT_LE(granted, (3 * 40 + 40) * 1.1);
    EXPECT_GE(granted, 3 * 40 * 0.8);
}

TEST_F(gateway_shared_test, usage_of_each_window_is_reported_once_and_adds_up)
{
    constexpr int requests = 30;
    for (int i = 0; i < requests; ++i)
        system.send("/once/x", "u" + std::to_string(i), with_key("key-2"), i % 3);
    std::int64_t sum = 0;
    std::set<std::int64_t> windows;
    eventually(
        [&]
        {
            sum = 0;
            windows.clear();
            for (auto const& duty : system.duties())
            {
                if (duty["path"] != "/usage")
                    continue;
                EXPECT_TRUE(windows.insert(duty["windowId"].get<std::int64_t>()).second);
                sum += duty["counts"].value("other", 0);
            }
            return sum == requests;
        },
        8000);
    EXPECT_EQ(sum, requests);
}

TEST_F(gateway_shared_test, duties_of_a_killed_holder_go_on_with_a_higher_number)
{
    EXPECT_TRUE(eventually([&] { return !system.duties().empty(); }, 8000));
    auto const before = holder();
    ASSERT_GE(before, 0);
    auto const first = system.duties().back();
    system.gateway(before).kill();
    EXPECT_TRUE(
        eventually([&] { return system.duties().back()["holder"] != first["holder"]; }, 12000));
    auto const all = system.duties();
    EXPECT_GT(
        std::stoll(all.back()["fencing"].get<std::string>()),
        std::stoll(first["fencing"].get<std::string>()));
    std::map<std::int64_t, json> reported;
    for (auto const& duty : all)
    {
        auto const window = duty["windowId"].get<std::int64_t>();
        auto const [known, added] = reported.emplace(window, duty["counts"]);
        EXPECT_EQ(known->second, duty["counts"]);
    }
}

} // namespace
} // namespace auburnweir::tests
