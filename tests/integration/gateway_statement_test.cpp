#include "support/gateway_deployment.hpp"

#include <gtest/gtest.h>
#include <thread>

namespace auburnweir::tests
{
namespace
{

using namespace std::chrono_literals;

/// Two gateways before two backend servers whose answers say what they take.
class gateway_statement_test : public testing::Test
{
protected:
    static constexpr auto pause = 20ms;

    static gateway_deployment_plan plan()
    {
        gateway_deployment_plan result;
        result.gateways = 2;
        return result;
    }

    void say(int backend, json const& statements)
    {
        gateway_deployment::control(system.backend(backend), {{"statements", statements}});
    }

    /// Sends requests to both gateways in turn, one every `pause`.
    /// @return the number of answers with another status
    int send_for(std::chrono::milliseconds time, std::string const& path, int status)
    {
        int others = 0;
        for (auto const end = std::chrono::steady_clock::now() + time;
             std::chrono::steady_clock::now() < end; std::this_thread::sleep_for(pause))
        {
            auto const id = "m" + std::to_string(++sent_);
            others += system.send_request(path, id, {}, sent_ % 2).status == status ? 0 : 1;
        }
        return others;
    }

    int runs_at(int backend)
    {
        auto const body = call(system.backend(backend).port(), "GET", "/runs").parsed();
        return static_cast<int>(body["runs"].size());
    }

    gateway_deployment system{plan()};

private:
    int sent_ = 0;
};

// Guards against LIMIT: a server in need gets more requests than it says that it takes.
TEST_F(gateway_statement_test, server_that_names_a_limit_gets_no_more_from_all_gateways)
{
    constexpr double rate = 2;
    constexpr int seconds = 4;
    say(0, {{"Server-Limit", "2.0"}});
    EXPECT_EQ(send_for(1s, "/safe/x", 200), 0);
    auto const before = runs_at(0);
    EXPECT_EQ(send_for(std::chrono::seconds{seconds}, "/safe/x", 200), 0);
    EXPECT_LE(runs_at(0) - before, 1.5 * rate * seconds + 5);
    EXPECT_GT(runs_at(0), before);

    say(0, json::object());
    EXPECT_EQ(send_for(2s, "/safe/x", 200), 0);
    auto const lifted = runs_at(0);
    EXPECT_EQ(send_for(1s, "/safe/x", 200), 0);
    EXPECT_GT(runs_at(0) - lifted, 10);
}

TEST_F(gateway_statement_test, request_beyond_the_limits_of_all_servers_is_refused_with_a_time)
{
    for (int i = 0; i < 2; ++i)
        say(i, {{"Server-Limit", "0.5"}});
    send_for(500ms, "/once/x", 200);
    auto const refused = system.send_request("/once/x", "r1");
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.reason(), "backends_closed");
    EXPECT_EQ(refused.run_outcome(), "not_run");
    EXPECT_GT(std::stod(refused.header("Retry-After")), 0.0);
    EXPECT_EQ(system.run_count("r1"), 0);
}

// Guards against DRAIN: an answer says that its server leaves, and the directory does not.
TEST_F(gateway_statement_test, server_that_says_it_leaves_gets_no_more_requests)
{
    say(0, {{"Server-Leaving", "1"}});
    EXPECT_EQ(send_for(1s, "/safe/x", 200), 0);
    auto const before = runs_at(0);
    say(0, json::object());
    system.list_backend(0, "ready", "v2");
    EXPECT_EQ(send_for(1s, "/safe/x", 200), 0);
    system.remove_backend(0);
    EXPECT_EQ(send_for(500ms, "/safe/x", 200), 0);
    system.list_backend(0);
    EXPECT_EQ(send_for(1s, "/safe/x", 200), 0);
    EXPECT_EQ(runs_at(0), before);

    system.list_backend(0, "ready", "v1", 2000);
    EXPECT_EQ(send_for(1s, "/safe/x", 200), 0);
    EXPECT_GT(runs_at(0), before);
}

// Guards against DRAIN: the statement comes with a refusal, and no other server is left.
TEST_F(gateway_statement_test, servers_that_refuse_and_leave_get_no_more_requests)
{
    for (int i = 0; i < 2; ++i)
    {
        gateway_deployment::control(system.backend(i), {{"not_run", true}});
        say(i, {{"Server-Leaving", "1"}});
    }
    send_for(500ms, "/safe/x", 503);
    for (int i = 0; i < 2; ++i)
        gateway_deployment::control(system.backend(i), {{"not_run", false}});
    EXPECT_EQ(send_for(500ms, "/safe/x", 503), 0);
    EXPECT_EQ(runs_at(0) + runs_at(1), 0);
}

// Guards against BUDGET: a server that said when to return is asked before that.
TEST_F(gateway_statement_test, servers_that_name_a_return_time_get_nothing_before_it)
{
    for (int i = 0; i < 2; ++i)
    {
        gateway_deployment::control(system.backend(i), {{"not_run", true}});
        say(i, {{"Retry-After", "2.5"}});
    }
    send_for(200ms, "/safe/x", 503);
    for (int i = 0; i < 2; ++i)
    {
        gateway_deployment::control(system.backend(i), {{"not_run", false}});
        say(i, json::object());
    }
    EXPECT_EQ(send_for(1500ms, "/safe/x", 503), 0);
    EXPECT_EQ(runs_at(0) + runs_at(1), 0);
    auto const refused = system.send_request("/once/x", "b1");
    EXPECT_EQ(refused.reason(), "backends_closed");
    EXPECT_LT(std::stod(refused.header("Retry-After")), 2.0);
    std::this_thread::sleep_for(1500ms);
    EXPECT_EQ(send_for(500ms, "/safe/x", 200), 0);
}

TEST_F(gateway_statement_test, server_that_names_a_return_time_is_spared_while_another_answers)
{
    gateway_deployment::control(system.backend(0), {{"not_run", true}});
    say(0, {{"Retry-After", "30"}});
    EXPECT_EQ(send_for(500ms, "/safe/x", 200), 0);
    gateway_deployment::control(system.backend(0), {{"not_run", false}});
    EXPECT_EQ(send_for(1s, "/safe/x", 200), 0);
    EXPECT_EQ(runs_at(0), 0);
}

TEST_F(gateway_statement_test, limits_that_are_no_numbers_are_counted_and_change_nothing)
{
    say(0, {{"Server-Limit", "-1"}});
    say(1, {{"Server-Limit", "1e400, soon, nan, "}});
    EXPECT_EQ(send_for(1s, "/safe/x", 200), 0);
    EXPECT_GT(runs_at(0), 5);
    EXPECT_GT(runs_at(1), 5);
    EXPECT_GT(system.counter(0, "auburnweir_malformed_statements_total"), 0);
}

} // namespace
} // namespace auburnweir::tests
