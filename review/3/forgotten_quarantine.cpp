#include "support/deployment.hpp"

#include <array>
#include <atomic>
#include <iostream>
#include <optional>
#include <thread>

/// Case 3: requests with one part in their prompts crash each engine that begins to answer them.
/// The gateways refuse them, until all gateways are killed: what they know of the part is gone, and
/// the part crashes the engines once more, together with the sound requests that run there.

namespace
{

using namespace auburnweir::review;
using namespace std::chrono_literals;

constexpr int engines = 6;
constexpr char const* bad_part = "5c1e07a2";

/// A crashed engine is back after this time.
constexpr auto engine_restart_delay = 3s;
constexpr auto engine_poll_interval = 100ms;

constexpr auto contact_time = 4000ms; ///< `contactMs`
constexpr auto gateway_restart_delay = 500ms;
constexpr auto route_timeout = 3000ms;
constexpr auto pause_after_failure = 300ms;

/// Requests with the part in the first series, and in the series after the restart.
constexpr int first_requests = 8;
constexpr int later_requests = 8;
constexpr auto request_interval = 200ms;

constexpr int crashes_that_tell = 5;
constexpr int allowed_later_requests = 3;

/// Sound requests that run at the engines all the while.
constexpr int sound_delay_ms = 1500;
constexpr int sound_channels = 12;
constexpr char const* sound_part = "91bd3f06";

call_request make_request(std::string const& route, std::string const& id, std::string const& part)
{
    call_request request;
    request.target = "/" + route + "/1";
    request.headers = {
        {"Host", "calls.example"},
        {"Auburnweir-Attempt-Id", id},
        {"Auburnweir-Model", "m"},
        {"Auburnweir-Token-Count", "1460,80"},
        {"Auburnweir-Prompt-Prefix", part + ":800," + id + ":250"},
        {"Auburnweir-Deadline-Ms", "3000"},
        {"Authorization", "Token key-1"}};
    request.body = "prompt of " + id;
    return request;
}

/// Starts crashed engines again after some seconds, and counts the crashes.
class engine_keeper
{
public:
    engine_keeper(deployment& system, record& log)
        : system_(system)
        , log_(log)
        , thread_([this] { run(); })
    {
    }

    ~engine_keeper()
    {
        stopping_ = true;
        thread_.join();
    }

    int crashes() const { return crashes_; }

private:
    void run()
    {
        std::array<std::optional<std::chrono::milliseconds>, engines> ended_at;
        while (!stopping_)
        {
            std::this_thread::sleep_for(engine_poll_interval);
            for (int i = 0; i < engines; ++i)
            {
                if (!ended_at[i] && system_.engine_has_ended(i))
                {
                    ended_at[i] = log_.elapsed();
                    ++crashes_;
                    log_.line("engine " + std::to_string(i + 1) + " has crashed");
                }
                if (!ended_at[i] || log_.elapsed() - *ended_at[i] < engine_restart_delay)
                    continue;
                ended_at[i].reset();
                system_.restart_engine(i);
                system_.control_engine(
                    i, {{"crash_segment", bad_part}, {"delay_ms", sound_delay_ms}});
                system_.list_engine(i);
                log_.line("engine " + std::to_string(i + 1) + " is back");
            }
        }
    }

    deployment& system_;
    record& log_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> crashes_{0};
    std::thread thread_;
};

/// Clients that send sound requests, each on one channel to one gateway.
class sound_clients
{
public:
    explicit sound_clients(deployment const& to, record& log)
        : to_(to)
        , log_(log)
    {
        for (int i = 0; i < sound_channels; ++i)
            threads_.emplace_back([this, i] { run(i); });
    }

    ~sound_clients()
    {
        stopping_ = true;
        for (auto& t : threads_)
            t.join();
    }

    /// Requests so far that were sent on to an engine and got no answer of it.
    int lost() const { return lost_; }

private:
    void run(int channel)
    {
        http_connection connection(to_.callers(channel % to_.gateways()));
        for (int i = 0; !stopping_; ++i)
        {
            auto const id = "sound-" + std::to_string(channel) + "-" + std::to_string(i);
            auto const response =
                connection.call(make_request("deposit", id, sound_part), route_timeout);
            if (response.status == 502)
            {
                ++lost_;
                log_.line("client: " + id + ", status 502");
            }
            if (response.status != 200)
                std::this_thread::sleep_for(pause_after_failure);
        }
    }

    deployment const& to_;
    record& log_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> lost_{0};
    std::vector<std::thread> threads_;
};

/// Sends requests with the part that crashes engines to all gateways in turn.
void send_bad_requests(deployment const& to, std::string const& series, int count, record& log)
{
    std::vector<std::thread> threads;
    for (int i = 0; i < count; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                auto const id = series + "-" + std::to_string(i);
                auto const gateway = i % to.gateways();
                auto const response =
                    call_once(to.callers(gateway), make_request("quote-chat", id, bad_part));
                log.line(
                    "client: " + id + " to gateway " + std::to_string(gateway + 1) + ", status " +
                    std::to_string(response.status));
            });
        std::this_thread::sleep_for(request_interval);
    }
    for (auto& t : threads)
        t.join();
}

/// Kills all gateways, starts them again and waits until they are in touch.
bool disrupt(deployment& system, record& log)
{
    for (int i = 0; i < system.gateways(); ++i)
        system.kill_gateway(i);
    std::this_thread::sleep_for(gateway_restart_delay);
    for (int i = 0; i < system.gateways(); ++i)
        system.start_gateway(i);
    bool const ready = system.wait_until_ready();
    std::this_thread::sleep_for(contact_time + 1s);
    log.line("the gateways have been in touch for contactMs");
    return ready;
}

int run(case_options const& options)
{
    record log(options.folder + "/record.txt");
    deployment system({3, engines}, log);
    system.add_route("quote-chat", "unsafe", true);
    for (int i = 0; i < engines; ++i)
        system.control_engine(i, {{"crash_segment", bad_part}, {"delay_ms", sound_delay_ms}});
    if (!system.wait_until_ready())
    {
        log.line("the deployment did not become ready");
        return exit_not_run;
    }
    engine_keeper const keeper(system, log);
    sound_clients const clients(system, log);
    std::this_thread::sleep_for(2s);
    send_bad_requests(system, "first", first_requests, log);
    std::this_thread::sleep_for(contact_time + 2s);
    auto const first_crashes = keeper.crashes();
    if (first_crashes < crashes_that_tell)
    {
        log.line("only " + std::to_string(first_crashes) + " engines have crashed");
        return exit_not_run;
    }
    send_bad_requests(system, "quarantined", 3, log);
    std::this_thread::sleep_for(500ms);
    log.line(
        "crashes: " + std::to_string(first_crashes) + ", after the quarantine " +
        std::to_string(keeper.crashes() - first_crashes) + " more");
    if (options.trouble && !disrupt(system, log))
    {
        log.line("the gateways did not become ready again");
        return exit_not_run;
    }
    auto const crashes_before = keeper.crashes();
    auto const lost_before = clients.lost();
    send_bad_requests(system, "later", later_requests, log);
    std::this_thread::sleep_for(2s);
    auto const later_crashes = keeper.crashes() - crashes_before;
    log.line(
        std::to_string(clients.lost() - lost_before) +
        " sound requests were lost with the engines");
    // Each crash shows one request with the part that has reached an engine.
    bool const broken = later_crashes > allowed_later_requests;
    if (broken)
        log.line(
            "BROKEN: BUDGET: requests with the part have crashed " + std::to_string(later_crashes) +
            " engines later than contactMs after the fifth crash");
    return broken ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        auto const result = run(options_from(argc, argv));
        std::cout << (result == exit_broken ? "broken"
                      : result == exit_held ? "held"
                                            : "not run")
                  << "\n";
        return result;
    }
    catch (std::exception const& error)
    {
        std::cerr << error.what() << "\n";
        return exit_not_run;
    }
}
