#include "support/deployment.hpp"
#include "support/gateway_deployment.hpp"

#include <atomic>
#include <chrono>
#include <csignal>
#include <gtest/gtest.h>
#include <iostream>
#include <thread>

namespace auburnweir::tests
{
namespace
{

using std::chrono::milliseconds;

/// Which process is ended in the middle of responses.
enum class ended_process
{
    server,
    relaying_gateway
};

struct end_case
{
    char const* framing; ///< of the servers' responses
    ended_process ends;
    int signal = SIGKILL;
};

std::string name_of(end_case const& which)
{
    std::string const who = which.ends == ended_process::server ? "server" : "gateway";
    return who + (which.signal == SIGKILL ? "_killed_" : "_stopped_") + which.framing;
}

/// Responses of one load, as their callers saw them.
struct outcomes
{
    std::atomic<int> whole{0};
    std::atomic<int> short_but_complete{0};
    std::atomic<int> broken_off{0};
    std::atomic<int> refused{0};
};

/// A gateway that is cut off from all servers and has others relay its requests, while servers or
/// relaying gateways end in the middle of the responses.
class gateway_relayed_end_test : public testing::TestWithParam<end_case>
{
protected:
    static constexpr int gateways = 3;
    static constexpr int backends = 2;
    static constexpr int cut_gateway = 0;
    static constexpr int events = 10; ///< as servers send until they are told otherwise
    static constexpr int event_ms = 20;
    static constexpr int callers = 8;
    static constexpr int rounds = 8;

    static gateway_deployment_plan plan()
    {
        gateway_deployment_plan p;
        p.gateways = gateways;
        p.backends = backends;
        p.may_be_cut = true;
        p.route_timeout_ms = 8000;
        p.settings["stop_grace_s"] = "0.45"; // ends 50 ms after the signal
        return p;
    }

    gateway_relayed_end_test()
    {
        for (int i = 0; i < backends; ++i)
            set_behaviour(i);
        system.cut_off(cut_gateway, gateway_deployment::cut_kind::refused);
        int number = 0;
        eventually([&] { return is_served_by_relay("first-" + std::to_string(++number)); });
    }

    bool is_served_by_relay(std::string const& id)
    {
        return system.send_request("/safe/x", id).status == 200 &&
               system.counter(cut_gateway, relayed_counter) > 0;
    }

    /// Starts a server as a new lifetime.
    void revive_server(int index)
    {
        auto const born = ++last_born_;
        system.backend(index).kill();
        system.start_backend(index, "backend-" + std::to_string(index + 1), born);
        set_behaviour(index);
        system.list_backend(index, "ready", "v1", born);
    }

    void set_behaviour(int index)
    {
        gateway_deployment::control(
            system.backend(index), {{"framing", GetParam().framing}, {"event_ms", event_ms}});
    }

    void end_one_process(int round)
    {
        constexpr int exit_wait_ms = 3000;
        bool const is_server = GetParam().ends == ended_process::server;
        int const index = is_server ? round % backends : 1 + round % (gateways - 1);
        auto& target = is_server ? system.backend(index) : system.gateway(index);
        target.signal(GetParam().signal);
        target.wait_for_exit(exit_wait_ms);
        std::this_thread::sleep_for(milliseconds{300});
        if (is_server)
            revive_server(index);
        else
            system.start_gateway(index);
    }

    void run_load(std::function<void(std::string const& id)> const& send)
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
        for (int round = 0; round < rounds; ++round)
        {
            std::this_thread::sleep_for(milliseconds{150 + 37 * (round % 5)});
            end_one_process(round);
        }
        stopped = true;
        for (auto& t : threads)
            t.join();
        std::cout << seen.whole << " whole, " << seen.short_but_complete << " short but complete, "
                  << seen.broken_off << " broken off, " << seen.refused << " refused\n";
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

    void run_streams(std::string const& path)
    {
        auto const whole = whole_stream();
        run_load(
            [&](std::string const& id)
            {
                streamed_answer answer(
                    system.port(cut_gateway), "POST", path + id,
                    {{"Host", "calls.test"},
                     {"Auburnweir-Attempt-Id", id},
                     {"Auburnweir-Deadline-Ms", "8000"}},
                    "order");
                answer.read_to_end();
                if (answer.status() != 200)
                    ++(answer.status() == 503 ? seen.refused : seen.broken_off);
                else if (!answer.is_complete())
                    ++seen.broken_off;
                else if (answer.body() == whole)
                    ++seen.whole;
                else
                    ++seen.short_but_complete;
            });
    }

    void run_requests(std::string const& path)
    {
        run_load(
            [&](std::string const& id)
            {
                auto const answer = system.send_request(path + id, id);
                if (answer.status != 200)
                    ++(answer.status == 503 ? seen.refused : seen.broken_off);
                else if (protocol::text_at(answer.parsed(), "echo") == "order")
                    ++seen.whole;
                else
                    ++seen.short_but_complete;
            });
    }

    void expect_none_short()
    {
        EXPECT_EQ(seen.short_but_complete, 0);
        EXPECT_GT(seen.whole, 0);
        EXPECT_GE(system.counter(cut_gateway, relayed_counter), seen.whole);
    }

    static constexpr char const* relayed_counter = "auburnweir_attempts_relayed_total";

    gateway_deployment system{plan()};
    outcomes seen;

private:
    std::int64_t last_born_ = 1000;
};

// Guards against ORDER: a relayed stream whose server or relaying gateway died, passed on as
// complete.
TEST_P(gateway_relayed_end_test, stream_that_may_be_resumed_is_whole_or_looks_incomplete)
{
    run_streams("/stream/");
    expect_none_short();
}

// Guards against ORDER: the same where no other server may go on.
TEST_P(gateway_relayed_end_test, stream_that_must_not_run_twice_is_whole_or_looks_incomplete)
{
    run_streams("/flow/stream/");
    expect_none_short();
}

// Guards against MIXED: part of a relayed body passed on with a length that makes it whole.
TEST_P(gateway_relayed_end_test, buffered_response_is_whole_or_has_no_success)
{
    run_requests("/once/");
    expect_none_short();
}

INSTANTIATE_TEST_SUITE_P(
    ends, gateway_relayed_end_test,
    testing::Values(
        end_case{"connection", ended_process::server}, end_case{"chunks", ended_process::server},
        end_case{"length", ended_process::server},
        end_case{"connection", ended_process::relaying_gateway},
        end_case{"chunks", ended_process::relaying_gateway},
        end_case{"length", ended_process::relaying_gateway},
        end_case{"connection", ended_process::server, SIGTERM},
        end_case{"connection", ended_process::relaying_gateway, SIGTERM}),
    [](auto const& info) { return name_of(info.param); });

} // namespace
} // namespace auburnweir::tests
