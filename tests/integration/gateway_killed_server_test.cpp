#include "support/deployment.hpp"
#include "support/gateway_deployment.hpp"

#include <atomic>
#include <chrono>
#include <gtest/gtest.h>
#include <random>
#include <thread>

namespace auburnweir::tests
{
namespace
{

using std::chrono::milliseconds;

/// What listens at the address of a server right after its process was killed.
enum class successor
{
    none,
    other_id,
    same_id,
    same_id_without_start_time
};

char const* name_of(successor kind)
{
    switch (kind)
    {
    case successor::none:
        return "none";
    case successor::other_id:
        return "other_id";
    case successor::same_id:
        return "same_id";
    case successor::same_id_without_start_time:
        break;
    }
    return "same_id_without_start_time";
}

struct kill_case
{
    char const* framing;
    successor after;
    bool kills_all = false; ///< both servers at the same time
};

std::string name_of(kill_case const& which)
{
    return std::string{which.framing} + "_" + name_of(which.after) +
           (which.kills_all ? "_all" : "");
}

/// Responses of one load, as their callers saw them.
struct outcomes
{
    std::atomic<int> whole{0};
    std::atomic<int> short_but_complete{0};
    std::atomic<int> broken_off{0};
};

/// A gateway before two servers whose processes are killed with SIGKILL, one after the other or
/// both, while callers read their responses. Their kernel closes the connections with a FIN.
class gateway_killed_server_test : public testing::TestWithParam<kill_case>
{
protected:
    static constexpr int events = 10; ///< as servers send until they are told otherwise
    static constexpr int event_ms = 20;
    static constexpr int callers = 8;
    static constexpr milliseconds load_time{4000};
    static constexpr int frequent_pause_ms = 200;
    /// The resumed streams stay well within the retry budget.
    static constexpr int rare_pause_ms = 1500;

    static gateway_deployment_plan plan()
    {
        gateway_deployment_plan p;
        p.route_timeout_ms = 8000;
        return p;
    }

    gateway_killed_server_test()
    {
        for (int i = 0; i < servers; ++i)
            revive(i);
    }

    /// Starts a killed server as a new lifetime.
    void revive(int index)
    {
        auto const born = ++last_born_;
        auto const name = "backend-" + std::to_string(index + 1);
        system.backend(index).kill();
        system.start_backend(index, name, states_no_start() ? 0 : born);
        set_behaviour(index);
        system.list_backend(index, "ready", "v1", born);
    }

    void set_behaviour(int index)
    {
        json const behaviour{{"framing", GetParam().framing}, {"event_ms", event_ms}};
        gateway_deployment::control(system.backend(index), behaviour);
    }

    static bool states_no_start()
    {
        return GetParam().after == successor::same_id_without_start_time;
    }

    /// Kills a server; its successor follows at once.
    void kill(int index)
    {
        system.backend(index).kill();
        auto const name = "backend-" + std::to_string(index + 1);
        if (GetParam().after == successor::other_id)
            system.start_backend(index, "other-" + std::to_string(index), ++last_born_);
        else if (GetParam().after != successor::none)
        {
            system.start_backend(index, name, states_no_start() ? 0 : ++last_born_);
            set_behaviour(index);
        }
    }

    static std::string whole_stream()
    {
        std::string whole;
        for (int number = 1; number <= events; ++number)
        {
            auto const text = std::to_string(number);
            whole += "id: " + text + "\ndata: token-" + text + "\n\n";
        }
        return whole;
    }

    /// @param max_pause_ms  from a server's return to the next kill
    void kill_servers_until(std::chrono::steady_clock::time_point end, int max_pause_ms)
    {
        std::mt19937 random(1);
        std::uniform_int_distribution<int> pause_ms(max_pause_ms / 3, max_pause_ms);
        for (int round = 0; std::chrono::steady_clock::now() < end; ++round)
        {
            std::this_thread::sleep_for(milliseconds{pause_ms(random)});
            bool const all = GetParam().kills_all;
            std::vector<int> const killed = all ? std::vector{0, 1} : std::vector{round % 2};
            for (auto const index : killed)
                system.backend(index).signal(SIGKILL);
            for (auto const index : killed)
                kill(index);
            std::this_thread::sleep_for(milliseconds{300});
            for (auto const index : killed)
                revive(index);
        }
    }

    void run_load(std::function<void(std::string const& id)> const& send, int max_pause_ms)
    {
        std::atomic<bool> stopped{false};
        std::atomic<int> number{0};
        std::vector<std::thread> threads;
        for (int i = 0; i < callers; ++i)
            threads.emplace_back(
                [&]
                {
                    while (!stopped)
                        send("request-" + std::to_string(++number));
                });
        kill_servers_until(std::chrono::steady_clock::now() + load_time, max_pause_ms);
        stopped = true;
        for (auto& t : threads)
            t.join();
    }

    void run_streams(std::string const& path, int max_pause_ms = frequent_pause_ms)
    {
        auto const whole = whole_stream();
        run_load(
            [&](std::string const& id)
            {
                streamed_answer answer(
                    system.port(), "POST", path + id,
                    {{"Host", "calls.test"},
                     {"Auburnweir-Attempt-Id", id},
                     {"Auburnweir-Deadline-Ms", "8000"}},
                    "order");
                if (answer.status() != 200)
                    return;
                answer.read_to_end();
                if (!answer.is_complete())
                    ++seen.broken_off;
                else if (answer.body() == whole)
                    ++seen.whole;
                else
                    ++seen.short_but_complete;
            },
            max_pause_ms);
        report();
    }

    void run_requests(std::string const& path)
    {
        run_load(
            [&](std::string const& id)
            {
                auto const answer = system.send_request(path + id, id);
                if (answer.status == 0 || answer.status >= 500)
                    ++seen.broken_off;
                else if (answer.status != 200)
                    return;
                else if (protocol::text_at(answer.parsed(), "echo") == "order")
                    ++seen.whole;
                else
                    ++seen.short_but_complete;
            },
            frequent_pause_ms);
        report();
    }

    void report() const
    {
        std::cout << seen.whole << " whole, " << seen.short_but_complete << " short but complete, "
                  << seen.broken_off << " broken off\n";
    }

    static constexpr int servers = 2;
    static constexpr milliseconds max_end_delay{50};

    gateway_deployment system{plan()};
    outcomes seen;

private:
    std::int64_t last_born_ = 1000;
};

/// The same while one of the servers runs at any time.
class gateway_remaining_server_test : public gateway_killed_server_test
{
};

/// The same without kills.
class gateway_running_server_test : public gateway_killed_server_test
{
};

// Guards against ORDER: streams of servers that died passed on as complete.
TEST_P(gateway_killed_server_test, stream_that_may_be_resumed_is_whole_or_looks_incomplete)
{
    run_streams("/stream/");
    EXPECT_EQ(seen.short_but_complete, 0);
    EXPECT_GT(seen.whole, 0);
}

TEST_P(gateway_killed_server_test, stream_that_must_not_run_twice_is_whole_or_looks_incomplete)
{
    run_streams("/flow/stream/");
    EXPECT_EQ(seen.short_but_complete, 0);
    EXPECT_GT(seen.whole, 0);
}

// Guards against MIXED: part of a body passed on with a length that makes it whole.
TEST_P(gateway_killed_server_test, buffered_response_is_whole_or_has_no_success)
{
    run_requests("/once/");
    EXPECT_EQ(seen.short_but_complete, 0);
    EXPECT_GT(seen.whole, 0);
}

// Guards against LOST: streams broken off that another server can complete.
TEST_P(gateway_remaining_server_test, stream_that_may_be_resumed_is_whole)
{
    run_streams("/stream/", rare_pause_ms);
    EXPECT_EQ(seen.short_but_complete, 0);
    EXPECT_EQ(seen.broken_off, 0);
    EXPECT_GT(seen.whole, 0);
}

// Guards against a check of the server that breaks whole responses off or delays their ends.
TEST_P(gateway_running_server_test, responses_are_whole_and_end_without_delay)
{
    for (int i = 0; i < servers; ++i)
        gateway_deployment::control(system.backend(i), {{"end_after", events}});
    auto worst = milliseconds::zero();
    for (int number = 0; number < 20; ++number)
        for (std::string const path : {"/stream/", "/flow/stream/"})
        {
            auto const id = path + std::to_string(number);
            streamed_answer answer(
                system.port(), "POST", path + "calm",
                {{"Host", "calls.test"},
                 {"Auburnweir-Attempt-Id", id},
                 {"Auburnweir-Deadline-Ms", "8000"}},
                "order");
            answer.read_bytes(whole_stream().size());
            auto const last_event_at = std::chrono::steady_clock::now();
            answer.read_to_end();
            auto const delay = std::chrono::steady_clock::now() - last_event_at;
            worst = std::max(worst, std::chrono::duration_cast<milliseconds>(delay));
            EXPECT_TRUE(answer.is_complete());
            EXPECT_EQ(answer.body(), whole_stream());
            EXPECT_EQ(system.send_request("/once/calm", "once-" + id).status, 200);
        }
    EXPECT_LE(worst, max_end_delay);
    EXPECT_EQ(system.counter(0, "auburnweir_retries_total{reason=\"stream_cut\"}"), 0);
}

INSTANTIATE_TEST_SUITE_P(
    ends, gateway_remaining_server_test,
    testing::Values(
        kill_case{"connection", successor::none}, kill_case{"connection", successor::other_id},
        kill_case{"connection", successor::same_id}, kill_case{"chunks", successor::none}),
    [](auto const& info) { return name_of(info.param); });

INSTANTIATE_TEST_SUITE_P(
    ends, gateway_running_server_test,
    testing::Values(
        kill_case{"connection", successor::none},
        kill_case{"connection", successor::same_id_without_start_time},
        kill_case{"chunks", successor::none}),
    [](auto const& info) { return name_of(info.param); });

INSTANTIATE_TEST_SUITE_P(
    ends, gateway_killed_server_test,
    testing::Values(
        kill_case{"connection", successor::none}, kill_case{"connection", successor::other_id},
        kill_case{"connection", successor::same_id},
        kill_case{"connection", successor::same_id_without_start_time},
        kill_case{"connection", successor::none, true}, kill_case{"chunks", successor::none},
        kill_case{"length", successor::none}),
    [](auto const& info) { return name_of(info.param); });

} // namespace
} // namespace auburnweir::tests
