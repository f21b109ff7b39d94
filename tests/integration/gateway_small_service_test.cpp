#include "support/deployment.hpp"
#include "support/gateway_deployment.hpp"
#include "support/open_load.hpp"

#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace auburnweir::tests
{
namespace
{

using std::chrono::milliseconds;

/// Three gateways before a service with three servers and few requests, `desk`, and one with many,
/// `engine`. A route to the first was added while the gateways ran; its callers have no key.
class gateway_small_service_test : public testing::Test
{
protected:
    static constexpr int gateways = 3;
    static constexpr int servers = 3; ///< of each service; those of `desk` come first

    /// Time in which gateways notice that servers are sound again.
    static constexpr milliseconds recovery_time{2500};

    /// Requests on added routes must be served at least so often, compared with those on the
    /// first routes.
    static constexpr double min_relative_share = 0.25;

    static gateway_deployment_plan plan(int failure_domains)
    {
        gateway_deployment_plan result;
        result.failure_domains = failure_domains;
        result.gateways = gateways;
        result.backends = 2 * servers;
        result.backend_services = {"desk", "desk", "desk", "engine", "engine", "engine"};
        result.proxied = true;
        result.may_be_cut = true;
        result.route_timeout_ms = 1500;
        result.organisations =
            json::array({{{"name", "lanterns"}, {"apiKeys", json::array({"key-1"})}}});
        // Six retries in 10 s at each gateway, as on a deployment of nine.
        result.settings["repeat_slack"] = "22";
        return result;
    }

    explicit gateway_small_service_test(int failure_domains = 1)
        : system(plan(failure_domains))
    {
        auto const add_first_routes = [this](json& c)
        { c["routes"].push_back(system.route("engine", "safe", 2, "engine")); };
        system.configure(add_first_routes);
        std::this_thread::sleep_for(milliseconds{500});
        system.configure(
            [&](json& c)
            {
                add_first_routes(c);
                auto added = system.route("added", "safe", 2);
                added["anonymous"] = true;
                c["routes"].push_back(std::move(added));
            });
        for (int i = 0; i < gateways; ++i)
            eventually(
                [&] { return system.send_request("/added/x", "begin", {}, i).status == 200; },
                3000);
    }

    /// Sends requests on all routes, at the first gateway alone, for `length`.
    void play_at_first_gateway(milliseconds length, std::function<void()> const& meanwhile)
    {
        header_list const key{{"Authorization", "Token key-1"}};
        auto outcomes = run_open_load(
            system, {{"/added/", 4, 1, {}}, {"/safe/", 2, 1, key}, {"/engine/", 20, 1, key}},
            length, meanwhile);
        added = std::move(outcomes[0]);
        first_on_desk = std::move(outcomes[1]);
        first_on_engine = std::move(outcomes[2]);
    }

    /// Sends requests on all routes for `length` while `meanwhile` runs.
    void play(
        milliseconds length, std::function<void()> const& meanwhile = [] {})
    {
        header_list const key{{"Authorization", "Token key-1"}};
        auto outcomes = run_open_load(
            system,
            {{"/added/", 4, gateways, {}},
             {"/safe/", 10, gateways, key},
             {"/engine/", 20, gateways, key}},
            length, meanwhile);
        added = std::move(outcomes[0]);
        first_on_desk = std::move(outcomes[1]);
        first_on_engine = std::move(outcomes[2]);
    }

    /// As `play`, with the servers of `desk` in trouble again and again for a part of each cycle.
    void play_cycles(
        int cycles, milliseconds in_trouble, milliseconds sound,
        std::function<void(bool)> const& set_trouble)
    {
        play(
            cycles * (in_trouble + sound),
            [&]
            {
                for (int i = 0; i < cycles; ++i)
                {
                    std::this_thread::sleep_for(sound);
                    set_trouble(true);
                    std::this_thread::sleep_for(in_trouble);
                    set_trouble(false);
                }
            });
    }

    void control_desk(json const& faults)
    {
        for (int i = 0; i < servers; ++i)
            gateway_deployment::control(system.backend(i), faults);
    }

    void expect_share_of_added_routes()
    {
        load_outcomes first = first_on_desk;
        first.insert(first.end(), first_on_engine.begin(), first_on_engine.end());
        EXPECT_GE(lowest_relative_share(added, first), min_relative_share);
        EXPECT_GE(lowest_relative_share(added, first_on_desk), min_relative_share);
    }

    static void expect_all_served(load_outcomes const& outcomes)
    {
        EXPECT_EQ(failures_of(outcomes), (std::map<std::string, int>{}));
    }

    void expect_all_served_after_recovery()
    {
        std::this_thread::sleep_for(recovery_time);
        play(milliseconds{3000});
        for (auto const* outcomes : {&added, &first_on_desk, &first_on_engine})
            expect_all_served(*outcomes);
    }

    double sum_of_counters(std::string const& name)
    {
        double sum = 0;
        for (int i = 0; i < gateways; ++i)
            sum += system.counter(i, name);
        return sum;
    }

    gateway_deployment system;
    load_outcomes added;
    load_outcomes first_on_desk;
    load_outcomes first_on_engine;
};

TEST_F(gateway_small_service_test, sound_servers_serve_all_routes)
{
    expect_all_served_after_recovery();
}

// CONFIG: two of three servers had been replaced at their addresses and refused each request at
// once, until the retry budget was spent and the sound one's requests were refused as well.
TEST_F(gateway_small_service_test, replaced_servers_cost_no_request_that_the_sound_one_can_serve)
{
    system.replace_backend(1, "other-1");
    system.replace_backend(2, "other-2");
    play(milliseconds{12000});
    expect_all_served(added);
    expect_all_served(first_on_desk);
    EXPECT_EQ(sum_of_counters("auburnweir_give_ups_total{reason=\"budget_exhausted\"}"), 0);
}

/// The same with a server of `desk` in the failure domain of each gateway, and as few requests at
/// each as on a deployment of nine.
class gateway_near_server_test : public gateway_small_service_test
{
protected:
    gateway_near_server_test()
        : gateway_small_service_test(3)
    {
    }

    void play_few_requests(milliseconds length)
    {
        header_list const key{{"Authorization", "Token key-1"}};
        auto outcomes = run_open_load(
            system, {{"/added/", 4, gateways, {}}, {"/safe/", 4, gateways, key}}, length, [] {});
        added = std::move(outcomes[0]);
        first_on_desk = std::move(outcomes[1]);
    }
};

// CONFIG: gateways whose near server refuses each request at once went on asking it first, until
// the retry budget was spent and requests that the other servers could serve were refused.
TEST_F(gateway_near_server_test, server_that_refuses_all_costs_no_request_that_others_can_serve)
{
    gateway_deployment::control(system.backend(0), {{"not_run", true}, {"names_refusals", true}});
    play_few_requests(milliseconds{20000});
    expect_all_served(added);
    expect_all_served(first_on_desk);
}

TEST_F(gateway_near_server_test, servers_that_refuse_all_but_one_leave_requests_to_that_one)
{
    for (int i = 0; i < servers - 1; ++i)
        gateway_deployment::control(
            system.backend(i), {{"not_run", true}, {"names_refusals", true}});
    play_few_requests(milliseconds{20000});
    expect_all_served(added);
    expect_all_served(first_on_desk);
}

TEST_F(gateway_small_service_test, servers_that_fall_silent_for_a_second_serve_added_routes)
{
    play_cycles(
        4, milliseconds{1000}, milliseconds{2000},
        [this](bool is_silent)
        {
            for (int i = 0; i < servers; ++i)
                system.backend(i).signal(is_silent ? SIGSTOP : SIGCONT);
        });
    expect_share_of_added_routes();
    expect_all_served_after_recovery();
}

TEST_F(gateway_small_service_test, servers_that_name_a_return_time_serve_added_routes_after_it)
{
    play_cycles(
        4, milliseconds{1000}, milliseconds{2000},
        [this](bool refuse)
        {
            json statements = json::object();
            if (refuse)
                statements["Retry-After"] = "0.5";
            control_desk(
                {{"not_run", refuse}, {"names_refusals", true}, {"statements", statements}});
        });
    expect_share_of_added_routes();
    expect_all_served_after_recovery();
}

TEST_F(gateway_small_service_test, servers_that_name_a_limit_serve_added_routes)
{
    control_desk({{"statements", {{"Server-Limit", "3.0"}}}});
    play(milliseconds{12000});
    EXPECT_GE(lowest_relative_share(added, first_on_desk), min_relative_share);
    control_desk({{"statements", json::object()}});
    expect_all_served_after_recovery();
}

// A server that falls over comes back at its address under a new id, which is listed later.
TEST_F(gateway_small_service_test, servers_that_fall_over_and_return_serve_added_routes)
{
    int generation = 0;
    std::vector<std::string> listed{"backend-1", "backend-2", "backend-3"};
    play_cycles(
        3, milliseconds{1000}, milliseconds{2500},
        [&](bool is_down)
        {
            if (is_down)
            {
                for (int i = 0; i < servers; ++i)
                    system.backend(i).kill();
                ++generation;
                return;
            }
            for (int i = 0; i < servers; ++i)
                system.replace_backend(
                    i, "desk-" + std::to_string(generation) + "-" + std::to_string(i));
            constexpr milliseconds listing_delay{600};
            std::this_thread::sleep_for(listing_delay);
            for (int i = 0; i < servers; ++i)
            {
                auto const id = "desk-" + std::to_string(generation) + "-" + std::to_string(i);
                system.write_backend_row(id, i, {{"born", 1000 + generation}});
                json const gone{{"table", "servers"}, {"key", listed[i]}};
                gateway_deployment::control(system.store(), {{"remove", json::array({gone})}});
                listed[i] = id;
            }
        });
    EXPECT_GE(lowest_relative_share(added, first_on_desk), min_relative_share);
    expect_all_served_after_recovery();
}

// CONFIG: a gateway noticed later that it had lost its links to a service with few requests than to
// one with many, and refused requests on added routes meanwhile.
TEST_F(gateway_small_service_test, gateway_whose_links_hang_serves_added_routes_like_first_ones)
{
    constexpr int cuts = 4;
    constexpr milliseconds cut_time{3000};
    constexpr milliseconds healed_time{1500};
    play_at_first_gateway(
        cuts * (cut_time + healed_time),
        [&]
        {
            for (int i = 0; i < cuts; ++i)
            {
                std::this_thread::sleep_for(healed_time);
                system.cut_off(0, gateway_deployment::cut_kind::hanging);
                std::this_thread::sleep_for(cut_time);
                system.heal(0);
            }
        });
    EXPECT_GE(lowest_relative_share(added, first_on_engine), min_relative_share);
    expect_all_served_after_recovery();
}

} // namespace
} // namespace auburnweir::tests
