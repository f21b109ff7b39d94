#include "support/deployment.hpp"
#include "support/gateway_deployment.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <gtest/gtest.h>
#include <iostream>
#include <thread>

namespace auburnweir::tests
{
namespace
{

using std::chrono::milliseconds;

/// Names a folder with one folder for each earlier build, which holds its `auburnweir-gateway`.
constexpr char const* builds_variable = "AUBURNWEIR_EARLIER_BUILDS";

/// Folders of the earlier builds; without any, this build stands for an earlier one as well.
std::vector<std::string> earlier_builds()
{
    char const* const folder = std::getenv(builds_variable);
    return folder ? builds_in(folder) : std::vector<std::string>{""};
}

/// A change from one build to another, gateway by gateway.
struct build_change
{
    std::string earlier; ///< folder; empty: this build
    bool is_roll_back = false;
    bool begins_with_last = false; ///< the gateways are replaced in the reverse order

    std::string from() const { return is_roll_back ? "" : earlier; }
    std::string to() const { return is_roll_back ? earlier : ""; }
};

std::vector<build_change> build_changes()
{
    std::vector<build_change> all;
    for (auto const& folder : earlier_builds())
    {
        all.push_back({folder, false, false});
        all.push_back({folder, false, true});
        if (!folder.empty())
            all.push_back({folder, true, false});
    }
    return all;
}

std::string name_of(testing::TestParamInfo<build_change> const& info)
{
    auto const& change = info.param;
    auto const build = change.earlier.empty()
                           ? std::string{"this_build"}
                           : std::filesystem::path{change.earlier}.filename().string();
    return (change.is_roll_back ? "back_to_" : "from_") + build +
           (change.begins_with_last ? "_last_first" : "");
}

/// Three gateways that change from one build to another, one after the other.
class gateway_upgrade_test : public testing::TestWithParam<build_change>
{
protected:
    static constexpr int gateways = 3;

    /// In which a new version of the configuration is in force at all gateways.
    static constexpr int apply_bound_ms = 3000;

    static gateway_deployment_plan plan()
    {
        gateway_deployment_plan result;
        result.gateways = gateways;
        result.backends = 3;
        result.may_be_cut = true;
        result.gateway_builds.assign(gateways, GetParam().from());
        result.organisations =
            json::array({{{"name", "lanterns"}, {"apiKeys", json::array({"key-1", "key-2"})}}});
        return result;
    }

    gateway_upgrade_test()
    {
        if (!std::getenv(builds_variable))
            std::cout << builds_variable << " is not set: this build is played on both sides\n";
    }

    /// Gateways in the order in which they are replaced.
    static std::vector<int> order()
    {
        std::vector<int> all{0, 1, 2};
        if (GetParam().begins_with_last)
            std::ranges::reverse(all);
        return all;
    }

    /// Stops a gateway and starts it again with the build that it changes to.
    void replace(int gateway)
    {
        auto& process = system.gateway(gateway);
        process.signal(SIGTERM);
        constexpr int stop_timeout_ms = 20000;
        ASSERT_EQ(process.wait_for_exit(stop_timeout_ms), 0);
        system.set_gateway_build(gateway, GetParam().to());
        system.start_gateway(gateway);
        ASSERT_TRUE(eventually([&] { return system.ready(gateway); }, 8000));
    }

    int status_at(int gateway, std::string const& path, std::string const& key)
    {
        header_list headers;
        if (!key.empty())
            headers.emplace_back("Authorization", "Token " + key);
        return system.send_request(path, "r" + std::to_string(++requests_), headers, gateway)
            .status;
    }

    /// Writes a version that adds one route more, without a key, and drops the one before the last.
    void add_route()
    {
        ++added_;
        system.configure([this](json& c) { put_added_routes(c); });
    }

    /// Writes a version in which one key is withdrawn.
    void withdraw_key()
    {
        system.configure(
            [this](json& c)
            {
                put_added_routes(c);
                c["tenants"][0]["apiKeys"] = json::array({"key-1"});
            });
    }

    void put_added_routes(json& configuration) const
    {
        for (int i = std::max(1, added_ - 1); i <= added_; ++i)
        {
            auto route = system.route(route_name(i), "safe", 2);
            route["anonymous"] = true;
            configuration["routes"].push_back(std::move(route));
        }
    }

    static std::string route_name(int number) { return "added-" + std::to_string(number); }

    /// Checks that each running gateway has the version in force that was written last, in time,
    /// and goes on so.
    void expect_last_version_in_force()
    {
        auto const newest = "/" + route_name(added_) + "/x";
        auto const dropped = "/" + route_name(added_ - 2) + "/x";
        auto const written_at = std::chrono::steady_clock::now();
        for (int i = 0; i < gateways; ++i)
        {
            auto const since = std::chrono::duration_cast<milliseconds>(
                std::chrono::steady_clock::now() - written_at);
            auto const left = std::max<int>(200, apply_bound_ms - static_cast<int>(since.count()));
            EXPECT_TRUE(eventually([&] { return status_at(i, newest, "") == 200; }, left)) << i;
            if (added_ <= 2)
                continue;
            EXPECT_TRUE(eventually([&] { return status_at(i, dropped, "") == 404; }, left)) << i;
        }
        for (int i = 0; i < gateways; ++i)
        {
            int added_served = 0;
            int first_served = 0;
            constexpr int requests = 10;
            for (int k = 0; k < requests; ++k)
            {
                added_served += status_at(i, newest, "") == 200 ? 1 : 0;
                first_served += status_at(i, "/safe/x", "key-1") == 200 ? 1 : 0;
            }
            EXPECT_EQ(added_served, requests) << i;
            EXPECT_EQ(first_served, requests) << i;
        }
    }

    gateway_deployment system{plan()};

private:
    int added_ = 0;
    int requests_ = 0;
};

// CONFIG: a gateway was confirmed, by a holder of another build, as having what it lacks.
TEST_P(gateway_upgrade_test, routes_added_between_replacements_are_served_everywhere)
{
    add_route();
    expect_last_version_in_force();
    for (auto const gateway : order())
    {
        ASSERT_NO_FATAL_FAILURE(replace(gateway));
        add_route();
        expect_last_version_in_force();
        add_route();
        expect_last_version_in_force();
    }
}

// Holders of both builds follow each other while the configuration changes.
TEST_P(gateway_upgrade_test, routes_are_served_after_the_lease_has_passed_between_builds)
{
    ASSERT_NO_FATAL_FAILURE(replace(order().front()));
    for (int i = 0; i < gateways; ++i)
    {
        system.gateway(i).kill();
        add_route();
        std::this_thread::sleep_for(milliseconds{1500});
        system.start_gateway(i);
        ASSERT_TRUE(eventually([&] { return system.ready(i); }, 8000));
        add_route();
        expect_last_version_in_force();
    }
}

TEST_P(gateway_upgrade_test, withdrawn_key_is_refused_by_both_builds)
{
    ASSERT_NO_FATAL_FAILURE(replace(order().front()));
    add_route();
    expect_last_version_in_force();
    for (int i = 0; i < gateways; ++i)
        EXPECT_EQ(status_at(i, "/safe/x", "key-2"), 200);
    withdraw_key();
    std::this_thread::sleep_for(milliseconds{apply_bound_ms});
    for (int i = 0; i < gateways; ++i)
        EXPECT_EQ(status_at(i, "/safe/x", "key-2"), 401);
    expect_last_version_in_force();
}

TEST_P(gateway_upgrade_test, routes_added_after_the_store_was_restored_are_served_by_both_builds)
{
    ASSERT_NO_FATAL_FAILURE(replace(order().front()));
    add_route();
    expect_last_version_in_force();
    system.copy_store();
    add_route();
    expect_last_version_in_force();
    system.restore_store();
    system.rewrite_configuration();
    constexpr milliseconds confirmation_after_restore{8000};
    std::this_thread::sleep_for(confirmation_after_restore);
    expect_last_version_in_force();
    add_route();
    expect_last_version_in_force();
}

// A gateway of an earlier build can't relay, so none may be asked to.
TEST_P(gateway_upgrade_test, gateway_that_is_cut_off_gets_no_false_answer_from_the_other_build)
{
    ASSERT_NO_FATAL_FAILURE(replace(order().front()));
    add_route();
    expect_last_version_in_force();
    auto const cut = order().front();
    system.cut_off(cut, gateway_deployment::cut_kind::refused);
    for (int i = 0; i < 40; ++i)
    {
        auto const status = status_at(cut, "/safe/x", "key-1");
        EXPECT_TRUE(status == 200 || status == 502 || status == 503 || status == 504) << status;
        std::this_thread::sleep_for(milliseconds{50});
    }
    system.heal(cut);
    std::this_thread::sleep_for(milliseconds{1500});
    add_route();
    expect_last_version_in_force();
}

INSTANTIATE_TEST_SUITE_P(builds, gateway_upgrade_test, testing::ValuesIn(build_changes()), name_of);

} // namespace
} // namespace auburnweir::tests
