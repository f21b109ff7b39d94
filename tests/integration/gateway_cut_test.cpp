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
    static constexpr int cut_gateway = 0;
    static constexpr int other_gateway = 1;

    /// After which a gateway that is cut off has to serve its callers again.
    static constexpr auto recovery_bound = std::chrono::milliseconds{4000};

    static gateway_deployment_plan plan()
    {
        gateway_deployment_plan result;
        result.gateways = 3;
        result.backends = 3;
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

} // namespace
} // namespace auburnweir::tests
