#include "support/gateway_deployment.hpp"

#include <deque>
#include <gtest/gtest.h>
#include <thread>

namespace auburnweir::tests
{
namespace
{

using namespace std::chrono_literals;

/// Two gateways before one backend server that is cold at times.
class gateway_cold_test : public testing::Test
{
protected:
    static constexpr double tolerated = 4; ///< requests a second while the server is cold
    /// Of the requirements, docs/PLACEMENT.md.
    static constexpr double bound = tolerated * 1.5 + 5;
    static constexpr int cold_s = 4;
    static constexpr auto pause = 20ms;

    struct outcome
    {
        int answered = 0;
        int refused = 0;
        int others = 0;
        std::size_t most_in_a_second = 0; ///< answered
    };

    static gateway_deployment_plan plan()
    {
        gateway_deployment_plan result;
        result.gateways = 2;
        result.backends = 1;
        return result;
    }

    void SetUp() override
    {
        system.configure(
            [](json& configuration)
            {
                auto& service = configuration["services"][0];
                service["coldS"] = cold_s;
                service["coldPerS"] = tolerated;
            });
        for (int i = 0; i < 2; ++i)
            wait_until([&] { return status(i).value("ranked_instances", 0) == 2; });
        std::this_thread::sleep_for(2s);
    }

    json status(int gateway)
    {
        return call(system.gateway(gateway).port("metrics"), "GET", "/status").parsed();
    }

    static void wait_until(std::function<bool()> const& condition)
    {
        for (auto const end = std::chrono::steady_clock::now() + 20s;
             !condition() && std::chrono::steady_clock::now() < end;)
            std::this_thread::sleep_for(pause);
        ASSERT_TRUE(condition());
    }

    bool all_know_of_a_cold_server()
    {
        return status(0)["backends"][0].value("cold_for_ms", 0) > 0 &&
               status(1)["backends"][0].value("cold_for_ms", 0) > 0;
    }

    /// Lists the server; a `cold_ms` below 0 leaves the field out.
    void list(std::int64_t born, std::int64_t cold_ms)
    {
        json entry{{"service", "desk"},
                   {"address", "127.0.0.1:" + std::to_string(system.backend_proxy_port(0))},
                   {"zone", "domain-1"},
                   {"version", "v1"},
                   {"slots", 8},
                   {"state", "ready"},
                   {"sequence", 1},
                   {"born", born}};
        if (cold_ms >= 0)
            entry["coldRemainingMs"] = cold_ms;
        json const row{{"table", "servers"}, {"key", "backend-1"}, {"value", entry.dump()}};
        gateway_deployment::control(system.store(), {{"put", json::array({row})}});
    }

    /// Sends requests to both gateways in turn, one every `pause`.
    outcome send_for(std::chrono::milliseconds time)
    {
        outcome result;
        std::deque<std::chrono::steady_clock::time_point> recent;
        for (auto const end = std::chrono::steady_clock::now() + time;
             std::chrono::steady_clock::now() < end; std::this_thread::sleep_for(pause))
        {
            auto const id = "c" + std::to_string(++sent_);
            auto const response = system.send_request("/once/x", id, {}, sent_ % 2);
            auto const received_at = std::chrono::steady_clock::now();
            bool const is_refusal =
                response.status == 503 && response.reason() == "backends_closed";
            result.answered += response.status == 200 ? 1 : 0;
            result.refused += is_refusal ? 1 : 0;
            result.others += response.status != 200 && !is_refusal ? 1 : 0;
            if (response.status == 200)
                recent.push_back(received_at);
            while (!recent.empty() && received_at - recent.front() > 1s)
                recent.pop_front();
            result.most_in_a_second = std::max(result.most_in_a_second, recent.size());
        }
        return result;
    }

    gateway_deployment system{plan()};

private:
    int sent_ = 0;
};

// Guards against COLD: gateways together send a cold server more than it can take.
TEST_F(gateway_cold_test, server_whose_row_says_cold_gets_few_requests_until_its_answers_say_warm)
{
    EXPECT_EQ(send_for(500ms).refused, 0);
    list(1000, 60000);
    wait_until([&] { return all_know_of_a_cold_server(); });
    auto const cold = send_for(5s);
    EXPECT_LE(static_cast<double>(cold.most_in_a_second), bound);
    EXPECT_GE(cold.answered, 0.5 * tolerated * 5);
    EXPECT_GT(cold.refused, 0);
    EXPECT_EQ(cold.others, 0);
    EXPECT_GT(system.counter(0, "auburnweir_cold_requests_sent"), 0);
    EXPECT_EQ(system.counter(0, "auburnweir_cold_servers"), 1);

    gateway_deployment::control(system.backend(0), {{"statements", {{"Auburnweir-Cold-Ms", "0"}}}});
    send_for(2s);
    EXPECT_EQ(send_for(1s).refused, 0);
    EXPECT_GT(system.counter(0, "auburnweir_backend_cold_times_changed_total"), 0);
}

// Guards against COLD: a server that has just started gets all requests at once.
TEST_F(gateway_cold_test, server_that_started_now_is_cold_for_the_time_of_its_service)
{
    auto const born = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    list(born.count(), -1);
    wait_until([&] { return all_know_of_a_cold_server(); });
    auto const cold = send_for(std::chrono::seconds{cold_s} - 1s);
    EXPECT_LE(static_cast<double>(cold.most_in_a_second), bound);
    EXPECT_GT(cold.refused, 0);
    wait_until([&] { return !all_know_of_a_cold_server(); });
    std::this_thread::sleep_for(1s);
    EXPECT_EQ(send_for(1s).refused, 0);
}

} // namespace
} // namespace auburnweir::tests
