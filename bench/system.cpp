#include "load.hpp"
#include "support/deployment.hpp"

#include <cstdio>
#include <popt.h>
#include <thread>

/// Measures a deployment of real processes on loopback. Prints the measured value and the target of
/// each metric as CSV.

namespace
{

using namespace auburnweir;
using namespace auburnweir::bench;
using namespace auburnweir::tests;

void print_metric(char const* metric, double ours, double target, char const* unit)
{
    std::printf("%s,%.4g,%.4g,%s\n", metric, ours, target, unit);
    std::fflush(stdout);
}

void print_point(char const* series, double x, double y)
{
    std::printf("point:%s,%.6g,%.6g,\n", series, x, y);
    std::fflush(stdout);
}

deployment_plan plan_with(int entries, std::int64_t token_us)
{
    deployment_plan plan;
    plan.entries = entries;
    plan.token_us = token_us;
    plan.backend_concurrency = "100000";
    plan.engine_slots = 100000;
    plan.entry_settings = {{"workers", "1"}, {"review_scan_ms", "1000"}, {"poll_period_ms", "500"}};
    return plan;
}

load_request chat_request_to(std::uint16_t port, int tokens)
{
    return {port, "/v1/chat/completions", with_bearer_token(), chat_body("hello", tokens, true)};
}

/// Compares the latency of an idempotent call and of a chat's first token with direct calls to the
/// backend server.
void measure_latency(int calls)
{
    deployment system(plan_with(3, 0));
    load_request direct{system.service(0).port(), "/availability", {}, "date"};
    load_request ours{
        system.entry_port(0), "/v1/services/booking/availability", with_bearer_token(), "date"};
    run_load(ours, 200, 1);
    auto const direct_calls = run_load(direct, calls, 1);
    auto const entry_calls = run_load(ours, calls, 1);
    print_metric(
        "added_call_p50_ms",
        quantile(entry_calls.first_byte_ms, .5) - quantile(direct_calls.first_byte_ms, .5), 0.3,
        "ms");
    print_metric(
        "added_call_p99_ms",
        quantile(entry_calls.first_byte_ms, .99) - quantile(direct_calls.first_byte_ms, .99), 2,
        "ms");

    auto const direct_chats = run_load(chat_request_to(system.engine(0).port(), 1), calls, 1);
    auto const entry_chats = run_load(chat_request_to(system.entry_port(0), 1), calls, 1);
    print_metric(
        "added_first_token_p50_ms",
        quantile(entry_chats.first_byte_ms, .5) - quantile(direct_chats.first_byte_ms, .5), 0.3,
        "ms");
    print_metric(
        "added_first_token_p99_ms",
        quantile(entry_chats.first_byte_ms, .99) - quantile(direct_chats.first_byte_ms, .99), 2,
        "ms");

    load_request booking{
        system.entry_port(1), "/v1/services/booking/book", with_bearer_token(), "vans"};
    booking.headers.emplace_back("Idempotency-Key", "bench");
    auto const replayed_bookings = run_load(booking, 50, 1);
    print_metric(
        "repeated_booking_p50_ms", quantile(replayed_bookings.first_byte_ms, .5), 20, "ms");
}

void measure_requests(int calls)
{
    deployment system(plan_with(1, 0));
    load_request const ours{
        system.entry_port(0), "/v1/services/booking/availability", with_bearer_token(), "date"};
    run_load(ours, 500, 32);
    auto const before = usage_of(system.entry(0).pid());
    auto const result = run_load(ours, calls, 32);
    auto const after = usage_of(system.entry(0).pid());
    auto const cpu = after.cpu_seconds - before.cpu_seconds;
    print_metric("requests_per_core_second", calls / cpu, 110, "1/s"); // 10 x (4,000 / 360)
    print_metric("request_failures", result.failures, 0, "");
}

/// Measures tokens per core second of an entry instance that also replicates its journals.
void measure_tokens(int streams, int tokens, std::int64_t token_us)
{
    deployment system(plan_with(3, token_us));
    run_load(chat_request_to(system.entry_port(0), 20), 20, 20);
    auto const before = usage_of(system.entry(0).pid());
    auto const result = run_load(chat_request_to(system.entry_port(0), tokens), streams, streams);
    auto const after = usage_of(system.entry(0).pid());
    auto const cpu = after.cpu_seconds - before.cpu_seconds;
    print_point("tokens_vs_cpu_s", static_cast<double>(result.tokens), cpu);
    print_point(
        "streams_vs_tokens_per_s", streams, static_cast<double>(result.tokens) / result.seconds);
    print_metric("tokens_per_core_second", static_cast<double>(result.tokens) / cpu, 34000, "1/s");
    print_metric("stream_failures", result.failures, 0, "");
}

void measure_memory(std::vector<int> const& sizes)
{
    std::vector<std::pair<double, double>> points;
    for (auto const streams : sizes)
    {
        deployment system(plan_with(3, 100000));
        std::thread load(
            [&] { run_load(chat_request_to(system.entry_port(0), 60), streams, streams); });
        std::this_thread::sleep_for(std::chrono::seconds{4});
        auto const rss = usage_of(system.entry(0).pid()).rss_bytes;
        load.join();
        points.emplace_back(streams, rss);
        print_point("streams_vs_rss_bytes", streams, rss);
    }
    print_metric("memory_per_stream_bytes", fit_line(points).slope, 32768, "B");
}

void measure_ledger(int calls)
{
    deployment system(plan_with(8, 0));
    std::vector<std::thread> callers;
    auto const begin = std::chrono::steady_clock::now();
    std::atomic<int> failures{0};
    for (int n = 0; n < 8; ++n)
        callers.emplace_back(
            [&, n]
            {
                // 400 operations per second over all entries
                auto const gap = std::chrono::microseconds{20000};
                for (int i = 0; i < calls / 8; ++i)
                {
                    std::this_thread::sleep_until(begin + gap * (i + 1));
                    auto headers = with_bearer_token();
                    headers.emplace_back(
                        "Idempotency-Key", std::to_string(n) + "-" + std::to_string(i));
                    auto const reply = call(
                        system.entry_port(n), "POST", "/v1/services/booking/book", headers, "x");
                    failures += reply.status == 200 ? 0 : 1;
                }
            });
    for (auto& c : callers)
        c.join();
    auto const seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    auto const writes =
        static_cast<double>(deployment::statistic(system.platform(), "transactions"));
    print_metric("booking_rate_per_second", calls / seconds, 400, "1/s");
    print_metric(
        "writes_per_booking", writes / calls, 0.75, ""); // 300 writes per second at 400 bookings
    print_metric("booking_failures", failures, 0, "");
}

} // namespace

int main(int argc, char** argv)
{
    int quick = 0;
    char* only = nullptr;
    poptOption const options[] = {
        {"quick", 0, POPT_ARG_NONE, &quick, 0, "shorter runs", nullptr},
        {"only", 0, POPT_ARG_STRING, &only, 0,
         "measurement to run: latency, requests, tokens, memory or ledger; default: all", "PART"},
        POPT_AUTOHELP POPT_TABLEEND};
    auto* const context = poptGetContext(nullptr, argc, const_cast<char const**>(argv), options, 0);
    while (poptGetNextOpt(context) >= 0)
    {
    }
    poptFreeContext(context);
    std::printf("metric,ours,target,unit\n");
    std::string const selected = only ? only : "";
    std::free(only);
    auto const wanted = [&](char const* name) { return selected.empty() || selected == name; };
    if (wanted("latency"))
        measure_latency(quick ? 500 : 3000);
    if (wanted("requests"))
        measure_requests(quick ? 3000 : 20000);
    if (wanted("tokens"))
        for (auto const streams : quick ? std::vector{400} : std::vector{100, 200, 400, 800})
            measure_tokens(streams, quick ? 150 : 200, 50000);
    if (wanted("memory"))
        measure_memory(quick ? std::vector{100, 400} : std::vector{100, 400, 800, 1200});
    if (wanted("ledger"))
        measure_ledger(quick ? 800 : 2400);
    return 0;
}
