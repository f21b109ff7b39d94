#include "support/deployment.hpp"
#include "support/gateway_deployment.hpp"
#include "support/temporary_file.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <thread>

namespace auburnweir::tests
{
namespace
{

using namespace std::chrono_literals;

/// Two gateways that hold the duties in turn. Each second has its own usage report.
class gateway_lease_turns_test : public testing::Test
{
protected:
    static constexpr int lease_bound_ms = 3000;

    static gateway_deployment_plan plan(std::string const& logs)
    {
        gateway_deployment_plan p;
        p.gateways = 2;
        p.log_folder = logs;
        p.settings = {{"usage_window_s", "1"}, {"lease_bound_ms", std::to_string(lease_bound_ms)}};
        return p;
    }

    static std::string name_of(int gateway) { return "gateway-" + std::to_string(gateway + 1); }

    /// Index of the gateway that made the call at `position`.
    static int holder_in(json const& calls, std::size_t position)
    {
        for (int i = 0; i < 2; ++i)
            if (calls[position]["holder"] == name_of(i))
                return i;
        ADD_FAILURE() << "unknown holder " << calls[position]["holder"];
        return 0;
    }

    /// Waits for a call after the first `count`. @return the number of all calls
    std::size_t wait_for_call_after(std::size_t count, int holder = -1)
    {
        std::size_t now = count;
        EXPECT_TRUE(eventually(
            [&]
            {
                auto const calls = system_.duties();
                for (; now < calls.size(); ++now)
                    if (holder < 0 || holder_in(calls, now) == holder)
                        return true;
                return false;
            },
            15000));
        return now + 1;
    }

    bool holds_duties(int gateway)
    {
        auto const port = system_.gateway(gateway).port("metrics");
        return call(port, "GET", "/status").parsed().value("holds_duties", false);
    }

    /// Number of calls that came within the bound after one of the same holder, with one of the
    /// other holder between them.
    int alternations()
    {
        int count = 0;
        auto const calls = system_.duties();
        for (std::size_t last = 0; last < calls.size(); ++last)
        {
            auto const& call = calls[last];
            bool others_between = false;
            for (auto i = last; i-- > 0;)
            {
                auto const& earlier = calls[i];
                if (call["at_ms"].get<std::int64_t>() - earlier["at_ms"].get<std::int64_t>() >
                    lease_bound_ms)
                    break;
                if (earlier["path"] != call["path"])
                    continue;
                bool const is_own = earlier["holder"] == call["holder"];
                if (is_own && others_between)
                {
                    ++count;
                    break;
                }
                others_between = others_between || !is_own;
            }
        }
        return count;
    }

    int logged(std::string const& event) const
    {
        int count = 0;
        for (auto const& file : std::filesystem::directory_iterator(logs_.path()))
        {
            std::ifstream lines(file.path());
            for (std::string line; std::getline(lines, line);)
                count += line.find("\"" + event + "\"") != std::string::npos ? 1 : 0;
        }
        return count;
    }

    temporary_folder logs_;
    gateway_deployment system_{plan(logs_.path())};
};

// Guards against ONE: a holder that stops gives the duties back to the one before it at once.
TEST_F(gateway_lease_turns_test, duties_after_stops_of_both_holders_are_not_called_in_turn)
{
    std::size_t calls = 0;
    for (int round = 0; round < 4; ++round)
    {
        calls = wait_for_call_after(calls);
        auto const first = holder_in(system_.duties(), calls - 1);
        auto const second = 1 - first;
        system_.gateway(first).signal(SIGTERM);
        std::this_thread::sleep_for(450ms);
        system_.gateway(first).kill();
        calls = wait_for_call_after(calls, second);
        system_.start_gateway(first);
        system_.gateway(second).signal(SIGTERM);
        EXPECT_TRUE(system_.gateway(second).wait_for_exit(10000));
        system_.start_gateway(second);
        calls = wait_for_call_after(calls, first);
    }
    EXPECT_EQ(alternations(), 0);
    EXPECT_GT(logged("lease_barred"), 0);
}

TEST_F(gateway_lease_turns_test, planned_stop_hands_the_duties_over_before_the_lease_would_end)
{
    auto const calls = wait_for_call_after(0);
    auto const first = holder_in(system_.duties(), calls - 1);
    system_.gateway(first).signal(SIGTERM);
    EXPECT_TRUE(eventually([&] { return holds_duties(1 - first); }, lease_bound_ms));
}

} // namespace
} // namespace auburnweir::tests
