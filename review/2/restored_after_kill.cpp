#include "support/deployment.hpp"

#include <atomic>
#include <thread>

/// Case 2: the platform's store comes back from a copy that is some seconds old while all gateways
/// have been killed. A usage window that was reported after the copy is reported again, with other
/// counts.

namespace
{

using namespace auburnweir::review;
using namespace std::chrono_literals;

constexpr std::chrono::milliseconds usage_window = 5s;

/// Time from the copy of the store to the end of the window that the copy lacks.
constexpr std::chrono::milliseconds copy_before_window_end = 1s;

/// How long the store is away, and after which time killed processes are started again.
constexpr std::chrono::milliseconds store_away = 1500ms;
constexpr std::chrono::milliseconds restart_delay = 500ms;

/// Time to wait for a report, and time in which repeated reports may come.
constexpr std::chrono::milliseconds report_timeout = 10s;
constexpr std::chrono::milliseconds observation_time = 25s;

constexpr std::chrono::milliseconds request_interval = 25ms;
constexpr std::chrono::milliseconds poll_interval = 50ms;

std::chrono::milliseconds wall_time()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

/// Sends requests of both tenants to all gateways in turn until it is destroyed.
class traffic
{
public:
    traffic(deployment const& to, record& log)
        : to_(to)
        , log_(log)
        , thread_([this] { run(); })
    {
    }

    ~traffic()
    {
        stopping_ = true;
        thread_.join();
    }

    int answered() const { return answered_; }

private:
    void run()
    {
        for (int number = 0; !stopping_; ++number)
        {
            auto const id = "request-" + std::to_string(number);
            call_request request;
            request.method = "GET";
            request.target = "/stock-check/1";
            request.headers = {
                {"Host", "calls.example"},
                {"Auburnweir-Attempt-Id", id},
                {"Auburnweir-Deadline-Ms", "1000"},
                {"Authorization", "Token key-" + std::to_string(number % 2 + 1)}};
            auto const gateway = number % to_.gateways();
            auto const response = call_once(to_.callers(gateway), request, 1s);
            answered_ += response.status == 200 ? 1 : 0;
            log_.line(
                "client: " + id + " to gateway " + std::to_string(gateway + 1) + ", status " +
                std::to_string(response.status));
            std::this_thread::sleep_for(request_interval);
        }
    }

    deployment const& to_;
    record& log_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> answered_{0};
    std::thread thread_;
};

bool was_reported(json const& calls, std::int64_t window)
{
    return std::ranges::any_of(
        calls, [&](json const& call)
        { return call.value("path", "") == "/usage" && call.value("windowId", 0LL) == window; });
}

/// Takes the store away and kills all gateways after the report of `window`, then brings both back.
void disrupt(deployment& to, record& log)
{
    to.control_store({{"down", true}});
    log.line("the store is away");
    for (int i = 0; i < to.gateways(); ++i)
        to.kill_gateway(i);
    std::this_thread::sleep_for(restart_delay);
    for (int i = 0; i < to.gateways(); ++i)
        to.start_gateway(i);
    std::this_thread::sleep_for(store_away - restart_delay);
    to.control_store({{"restore", true}, {"down", false}});
    log.line("the store is back from its copy");
    to.write_configuration();
    for (int i = 0; i < to.engines(); ++i)
        to.list_engine(i);
    log.line("the operator and the engines have written their rows again");
}

/// Writes the accepted reports to the record. @return the windows with reports of other counts
int count_contradictions(json const& calls, record& log)
{
    std::map<std::int64_t, json> first;
    int contradictions = 0;
    for (auto const& call : calls)
    {
        if (call.value("path", "") != "/usage")
            continue;
        auto const window = call.value("windowId", 0LL);
        log.line("platform accepted: " + call.dump());
        auto const [entry, is_first] = first.emplace(window, call["counts"]);
        if (is_first || entry->second == call["counts"])
            continue;
        ++contradictions;
        log.line(
            "BROKEN: ONE: window " + std::to_string(window) + " was accepted with " +
            entry->second.dump() + " and with " + call["counts"].dump());
    }
    return contradictions;
}

int run(case_options const& options)
{
    record log(options.folder + "/record.txt");
    deployment system({3, 2}, log);
    traffic const clients(system, log);
    if (!system.wait_until_ready())
    {
        log.line("the deployment did not become ready");
        return exit_not_run;
    }
    // The window that ends after the next one: it is observed from its first request on.
    auto const window = wall_time() / usage_window + 1;
    std::this_thread::sleep_for((window + 1) * usage_window - copy_before_window_end - wall_time());
    system.control_store({{"copy", true}});
    log.line("the copy of the store is made");
    auto const report_until = log.elapsed() + report_timeout;
    while (!was_reported(system.duty_calls(), window) && log.elapsed() < report_until)
        std::this_thread::sleep_for(poll_interval);
    if (!was_reported(system.duty_calls(), window))
    {
        log.line("window " + std::to_string(window) + " was not reported");
        return exit_not_run;
    }
    log.line("window " + std::to_string(window) + " was reported");
    if (options.trouble)
        disrupt(system, log);
    auto const answered_before = clients.answered();
    std::this_thread::sleep_for(observation_time);
    if (clients.answered() == answered_before)
    {
        log.line("no request was answered after the disruption");
        return exit_not_run;
    }
    system.record_runs();
    return count_contradictions(system.duty_calls(), log) > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
