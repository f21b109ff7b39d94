#include "support/open_load.hpp"

#include <algorithm>
#include <atomic>
#include <future>
#include <limits>
#include <thread>

namespace auburnweir::tests
{

namespace
{

using clock = std::chrono::steady_clock;

/// Of the requests of all loads, as a path that comes again is another request.
std::atomic<int> requests_sent{0};

load_outcomes send_all(
    gateway_deployment& system, request_stream const& stream, clock::time_point until)
{
    auto const interval = std::chrono::duration_cast<clock::duration>(
        std::chrono::duration<double>(1 / stream.per_second));
    std::vector<std::future<load_outcome>> pending;
    auto next = clock::now();
    for (int i = 0; next < until; ++i, next += interval)
    {
        std::this_thread::sleep_until(next);
        pending.push_back(std::async(
            std::launch::async,
            [&system, &stream, i, next]
            {
                auto const number = std::to_string(++requests_sent);
                auto const response = system.send_request(
                    stream.path + number, "load-" + number, stream.headers, i % stream.gateways);
                return load_outcome{next, response.status, response.reason()};
            }));
    }
    load_outcomes outcomes;
    for (auto& p : pending)
        outcomes.push_back(p.get());
    return outcomes;
}

} // namespace

std::vector<load_outcomes> run_open_load(
    gateway_deployment& system, std::vector<request_stream> const& streams,
    std::chrono::milliseconds length, std::function<void()> const& meanwhile)
{
    auto const until = clock::now() + length;
    std::vector<std::future<load_outcomes>> running;
    for (auto const& stream : streams)
        running.push_back(
            std::async(std::launch::async, [&, until] { return send_all(system, stream, until); }));
    meanwhile();
    std::vector<load_outcomes> outcomes;
    for (auto& r : running)
        outcomes.push_back(r.get());
    return outcomes;
}

served_count count_served(
    load_outcomes const& outcomes, clock::time_point from, clock::time_point until)
{
    served_count count;
    for (auto const& outcome : outcomes)
    {
        if (outcome.sent_at < from || outcome.sent_at > until)
            continue;
        ++count.sent;
        count.served += outcome.is_served() ? 1 : 0;
    }
    return count;
}

served_count count_served(load_outcomes const& outcomes)
{
    return count_served(outcomes, clock::time_point::min(), clock::time_point::max());
}

std::map<std::string, int> failures_of(load_outcomes const& outcomes)
{
    std::map<std::string, int> failures;
    for (auto const& outcome : outcomes)
        if (!outcome.is_served())
            ++failures[std::to_string(outcome.status) + " " + outcome.reason];
    return failures;
}

double lowest_relative_share(load_outcomes const& observed, load_outcomes const& reference)
{
    double lowest = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i + requests_per_window <= observed.size(); ++i)
    {
        auto const from = observed[i].sent_at;
        auto const until = observed[i + requests_per_window - 1].sent_at;
        auto const expected = count_served(reference, from, until);
        if (expected.served > 0)
            lowest =
                std::min(lowest, count_served(observed, from, until).share() / expected.share());
    }
    return lowest;
}

} // namespace auburnweir::tests
