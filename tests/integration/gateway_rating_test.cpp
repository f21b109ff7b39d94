#include "support/gateway_deployment.hpp"

#include <gtest/gtest.h>
#include <thread>

namespace auburnweir::tests
{
namespace
{

using namespace std::chrono_literals;

/// Two gateways before two backend servers; the callers use the first gateway alone.
class gateway_rating_test : public testing::Test
{
protected:
    static constexpr auto max_wait = 10s;

    static gateway_deployment_plan plan(std::string const& placement)
    {
        gateway_deployment_plan result;
        result.gateways = 2;
        result.settings["placement"] = placement;
        return result;
    }

    /// Lets the routes carry prompts: only services that get prompts are rated.
    static void configure_prompts(gateway_deployment& system)
    {
        system.configure(
            [](json& configuration)
            {
                for (auto& route : configuration.at("routes"))
                    route["sticky"] = true;
            });
    }

    /// Streams answers through the first gateway until the gauge of a gateway has the value.
    /// @return whether it has within `max_wait`
    static bool stream_until(
        gateway_deployment& system, int gateway, std::string const& gauge, double value)
    {
        int sent = 0;
        for (auto const end = std::chrono::steady_clock::now() + max_wait;
             std::chrono::steady_clock::now() < end;)
        {
            system.send_request("/stream/x", "m" + std::to_string(++sent));
            if (system.counter(gateway, gauge) == value)
                return true;
        }
        return false;
    }
};

TEST_F(gateway_rating_test, servers_that_one_gateway_uses_are_rated_at_all_gateways)
{
    gateway_deployment system{plan("uneven")};
    configure_prompts(system);
    EXPECT_TRUE(stream_until(system, 0, "auburnweir_rated_servers", 2));
    EXPECT_TRUE(stream_until(system, 1, "auburnweir_rated_servers", 2));
    EXPECT_EQ(system.counter(0, "auburnweir_server_observations_dropped"), 0);
}

// Guards against effects on deployments that do not ask for uneven placement.
TEST_F(gateway_rating_test, servers_are_not_rated_where_placement_is_even)
{
    gateway_deployment system{plan("even")};
    configure_prompts(system);
    for (int i = 0; i < 20; ++i)
        system.send_request("/stream/x", "m" + std::to_string(i));
    std::this_thread::sleep_for(2s);
    EXPECT_EQ(system.counter(0, "auburnweir_rated_servers"), 0);
    EXPECT_EQ(system.counter(1, "auburnweir_rated_servers"), 0);
}

// Guards against a malformed load that has an effect on the server's other statements.
TEST_F(gateway_rating_test, malformed_load_is_counted_and_requests_are_answered)
{
    gateway_deployment system{plan("uneven")};
    for (int i = 0; i < 2; ++i)
        gateway_deployment::control(
            system.backend(i), {{"statements", {{"Auburnweir-Instance-Load", "1,2,3,0"}}}});
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(system.send_request("/safe/x", "m" + std::to_string(i)).status, 200);
    EXPECT_GE(system.counter(0, "auburnweir_malformed_statements_total"), 10);
}

} // namespace
} // namespace auburnweir::tests
