#include "coordination/admission_queue.hpp"
#include "coordination/backend_subset.hpp"
#include "coordination/group_commit.hpp"
#include "coordination/journal_placement.hpp"
#include "coordination/operation_run.hpp"
#include "coordination/router.hpp"
#include "coordination/subset_cache.hpp"
#include "coordination/weighted_choice.hpp"
#include "protocol/chat_codec.hpp"
#include "protocol/peer_message.hpp"

#include <benchmark/benchmark.h>
#include <memory>

/// Measures single decisions and the codecs on the token path. Target: a decision takes less than
/// 20 us with 25 and with 600 engines.

namespace
{

using namespace auburnweir;
using namespace std::chrono_literals;

std::vector<state::backend_view> engines(std::int64_t count)
{
    std::vector<state::backend_view> all;
    for (std::int64_t i = 0; i < count; ++i)
    {
        state::backend_view view;
        view.id = state::backend_id{"engine-" + std::to_string(i)};
        view.failure_domain = state::failure_domain_id{"domain-" + std::to_string(i % 4)};
        view.region = state::region_id{i % 2 ? "east" : "west"};
        view.concurrency = 32;
        view.price = state::price_per_hour{1000000 + i};
        view.report.running = i % 32;
        all.push_back(std::move(view));
    }
    return all;
}

void choose_backend(benchmark::State& state)
{
    coordination::prefix_index prefixes(65536, 5min);
    coordination::router const router(coordination::predicted_first_token{}, prefixes);
    auto const all = engines(state.range(0));
    coordination::routing_request request;
    request.prompt = state::token_count{500};
    request.prefix = coordination::hash_prefix(std::string(2000, 'p'));
    request.region = state::region_id{"west"};
    coordination::random_engine random(1);
    for (auto _ : state)
        benchmark::DoNotOptimize(router.choose(all, request, state::time_point{1h}, random));
}
BENCHMARK(choose_backend)->Arg(24)->Arg(25)->Arg(600)->Unit(benchmark::kMicrosecond);

void choose_subset(benchmark::State& state)
{
    auto const all = engines(state.range(0));
    for (auto _ : state)
        benchmark::DoNotOptimize(
            coordination::backend_subset(state::instance_id{"entry-1"}, all, 24));
}
BENCHMARK(choose_subset)->Arg(25)->Arg(600)->Unit(benchmark::kMicrosecond);

/// Complete routing decision of a request: selects the subset, reads the views and chooses a
/// server.
void route_request(benchmark::State& state)
{
    state::configuration::builder builder;
    for (int d = 0; d < 4; ++d)
    {
        state::failure_domain domain;
        domain.id = state::failure_domain_id{"domain-" + std::to_string(d)};
        domain.region = state::region_id{d % 2 ? "east" : "west"};
        builder.add(domain, {});
    }
    state::service service;
    service.id = state::service_id{"s"};
    builder.add(service, {});
    for (std::int64_t i = 0; i < state.range(0); ++i)
    {
        state::backend_server server;
        server.id = state::backend_id{"engine-" + std::to_string(i)};
        server.service = service.id;
        server.failure_domain = state::failure_domain_id{"domain-" + std::to_string(i % 4)};
        builder.add(server, {});
    }
    state::findings found;
    state::backend_table table;
    table.apply(*builder.build(found), {});
    coordination::subset_cache subsets(state::instance_id{"entry-1"}, 24);
    coordination::prefix_index prefixes(65536, 5min);
    coordination::router const router(coordination::predicted_first_token{}, prefixes);
    coordination::routing_request request;
    request.prompt = state::token_count{500};
    request.prefix = coordination::hash_prefix(std::string(2000, 'p'));
    request.region = state::region_id{"west"};
    coordination::random_engine random(1);
    state::time_point const now{1h};
    for (auto _ : state)
        benchmark::DoNotOptimize(
            router.choose(subsets.candidates(table, service.id, now), request, now, random));
}
BENCHMARK(route_request)->Arg(25)->Arg(600)->Unit(benchmark::kMicrosecond);

/// Directory of a deployment with four failure domains, in which a third of the servers is slow.
std::unique_ptr<state::server_table> listed_servers(std::int64_t count, state::time_point now)
{
    auto table = std::make_unique<state::server_table>();
    for (std::int64_t i = 0; i < count; ++i)
    {
        state::listed_server listed;
        listed.id = state::backend_id{"engine-" + std::to_string(i)};
        listed.service = state::service_id{"chat"};
        listed.address = {"10.0.0." + std::to_string(i % 250), 8000};
        listed.failure_domain = state::failure_domain_id{"domain-" + std::to_string(i % 4)};
        listed.slots = 32;
        table->apply(listed, now);
    }
    return table;
}

std::vector<state::server_view> rated_servers(std::int64_t count, state::time_point now)
{
    auto views = listed_servers(count, now)->all(state::service_id{"chat"});
    for (std::size_t i = 0; i < views.size(); ++i)
    {
        auto& v = views[i];
        v.in_flight = static_cast<std::int64_t>(i % 3);
        v.rating = state::server_rating{v.listed.id, {}, {}, static_cast<std::int64_t>(i % 17), {}};
        v.rating->event_interval = std::chrono::milliseconds{i % 3 ? 20 + i % 7 : 50 + i % 11};
        v.rated_at = now - 300ms;
    }
    return views;
}

coordination::choice_request request_from_first_domain(state::token_count shared_tokens)
{
    coordination::choice_request request;
    request.failure_domain = state::failure_domain_id{"domain-0"};
    request.instance = state::instance_id{"gateway-1"};
    request.affinity = "8f3c20d7a1b94e55";
    request.shared_tokens = shared_tokens;
    return request;
}

constexpr state::time_point selection_time{1h};

/// The existing selection, which gets its own copy of the views.
void choose_server_by_affinity(benchmark::State& state)
{
    auto const servers = rated_servers(state.range(0), selection_time);
    auto const request = request_from_first_domain({});
    std::mt19937_64 random(1);
    for (auto _ : state)
        benchmark::DoNotOptimize(coordination::choose_server(
            coordination::affinity_with_bounded_load{}, servers, request, selection_time, random));
}
BENCHMARK(choose_server_by_affinity)->Arg(140)->Arg(600)->Unit(benchmark::kMicrosecond);

/// Selection by speed; the second argument is the number of shared tokens, the third tells whether
/// lanes are separate. Targets: 5 us among 140 servers, 10 us among 600.
void choose_server_by_speed(benchmark::State& state)
{
    auto const servers = rated_servers(state.range(0), selection_time);
    auto const request = request_from_first_domain(state::token_count{state.range(1)});
    coordination::speed_weighted_placement const policy{state.range(2) != 0};
    std::mt19937_64 random(1);
    for (auto _ : state)
        benchmark::DoNotOptimize(
            coordination::choose_weighted(policy, servers, request, selection_time, random));
}
BENCHMARK(choose_server_by_speed)
    ->ArgsProduct({{140, 600}, {0, 4096}, {0, 1}})
    ->Unit(benchmark::kMicrosecond);

/// The copy of the views that each selection takes from the table, with every policy.
void copy_server_pool(benchmark::State& state)
{
    auto const table = listed_servers(state.range(0), selection_time);
    state::service_id const service{"chat"};
    for (auto _ : state)
        benchmark::DoNotOptimize(table->pool(service, selection_time));
}
BENCHMARK(copy_server_pool)->Arg(140)->Arg(600)->Unit(benchmark::kMicrosecond);

void admit_and_release(benchmark::State& state)
{
    coordination::admission_settings settings;
    settings.capacity = 64;
    coordination::admission_queue queue(settings);
    coordination::admission_request request;
    for (int i = 0; i < 32; ++i)
    {
        request.organisation = state::organisation_id{std::to_string(i % 5)};
        queue.offer(request, {});
    }
    for (auto _ : state)
    {
        auto const decision = queue.offer(request, {});
        queue.release(std::get<coordination::admitted>(decision).ticket, {});
    }
}
BENCHMARK(admit_and_release)->Unit(benchmark::kMicrosecond);

void run_booking(benchmark::State& state)
{
    for (auto _ : state)
    {
        coordination::operation_run run(
            state::attempt_token{"a"}, state::instance_id{"e"}, state::sha256_digest{"d"});
        benchmark::DoNotOptimize(run.start());
        run.handle(coordination::ledger_write_done{state::row_version{1}});
        run.handle(coordination::backend_answered{{200, "text/plain", "booked"}});
        benchmark::DoNotOptimize(
            run.handle(coordination::ledger_write_done{state::row_version{2}}));
    }
}
BENCHMARK(run_booking)->Unit(benchmark::kMicrosecond);

void place_replica(benchmark::State& state)
{
    std::vector<state::instance> live;
    for (std::int64_t i = 0; i < state.range(0); ++i)
    {
        state::instance one;
        one.id = state::instance_id{"entry-" + std::to_string(i)};
        one.failure_domain = state::failure_domain_id{"domain-" + std::to_string(i % 4)};
        one.region = state::region_id{i % 2 ? "east" : "west"};
        live.push_back(std::move(one));
    }
    state::request_id const id{"request"};
    for (auto _ : state)
        benchmark::DoNotOptimize(coordination::replica_order(id, live[0], live));
}
BENCHMARK(place_replica)->Arg(8)->Arg(360)->Unit(benchmark::kMicrosecond);

void append_token(benchmark::State& state)
{
    state::attempt_token const attempt{"a"};
    auto journal = std::make_unique<state::journal>(
        state::chat_request{}, state::instance_id{"e"}, state::generation_tag{"g"});
    journal->begin_attempt(attempt);
    for (auto _ : state)
        journal->append(attempt, " token");
}
BENCHMARK(append_token)->Iterations(1000000);

void decode_engine_token(benchmark::State& state)
{
    for (auto _ : state)
        benchmark::DoNotOptimize(protocol::decode_engine_event(
            R"({"choices":[{"index":0,"delta":{"content":" w1234"}}]})"));
}
BENCHMARK(decode_engine_token);

state::journal_chunk one_token()
{
    return {state::sequence_number{7}, {" w1234"}, std::nullopt};
}

void encode_caller_token(benchmark::State& state)
{
    state::request_id const id{"0123456789abcdef01234567"};
    state::generation_lineage const lineage{{state::generation_tag{"ab12cd34"}, state::open_end}};
    for (auto _ : state)
        benchmark::DoNotOptimize(protocol::encode_chat_events(id, one_token(), lineage));
}
BENCHMARK(encode_caller_token);

std::vector<protocol::peer_message> append_message()
{
    protocol::journal_key key{
        state::organisation_id{"planners"}, state::request_id{"0123456789abcdef01234567"}};
    return {protocol::journal_batch{{{std::move(key), one_token()}}, protocol::correlation_id{99}}};
}

void encode_replica_token(benchmark::State& state)
{
    auto const messages = append_message();
    for (auto _ : state)
        benchmark::DoNotOptimize(protocol::encode_frame(messages));
}
BENCHMARK(encode_replica_token);

void decode_replica_token(benchmark::State& state)
{
    auto const frame = protocol::encode_frame(append_message());
    for (auto _ : state)
        benchmark::DoNotOptimize(protocol::decode_frame(frame));
}
BENCHMARK(decode_replica_token);

} // namespace

BENCHMARK_MAIN();
