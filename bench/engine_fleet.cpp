#include "engine_fleet.hpp"

#include "coordination/backend_subset.hpp"

#include <algorithm>

namespace auburnweir::bench
{

namespace
{

constexpr double prices_per_hour[] = {1.2, 0.9, 0.8, 1.0};

state::backend_id id_of(int index)
{
    return state::backend_id{"engine-" + std::to_string(index)};
}

int index_of(state::backend_id const& id)
{
    return std::stoi(id.str().substr(7));
}

coordination::prefix_hashes hashes_of(int prefix, std::int64_t prompt)
{
    std::string const text(static_cast<std::size_t>(prompt) * 4, static_cast<char>('a' + prefix));
    return coordination::hash_prefix(std::to_string(prefix) + text);
}

/// Gives each entry instance its own counter for `round_robin`.
coordination::routing_policy policy_copy(coordination::routing_policy const& policy)
{
    if (std::holds_alternative<coordination::round_robin>(policy))
        return coordination::round_robin{};
    return policy;
}

} // namespace

engine_fleet::engine_fleet(
    fleet_parameters parameters, coordination::routing_policy policy, std::uint64_t seed)
    : parameters_(parameters)
    , random_(seed)
{
    state::configuration::builder builder;
    for (int d = 0; d < parameters.domains; ++d)
    {
        state::failure_domain domain;
        domain.id = state::failure_domain_id{std::to_string(d)};
        domain.region = state::region_id{"here"};
        domain.price =
            state::price_per_hour{static_cast<std::int64_t>(prices_per_hour[d % 4] * 1e6)};
        builder.add(domain, {});
    }
    state::service service;
    service.id = state::service_id{"s"};
    builder.add(service, {});
    for (int i = 0; i < parameters.engines; ++i)
    {
        engine e;
        e.domain = i % parameters.domains;
        e.price = prices_per_hour[e.domain % 4];
        engines_.push_back(e);
        state::backend_server server;
        server.id = id_of(i);
        server.service = service.id;
        server.failure_domain = state::failure_domain_id{std::to_string(e.domain)};
        server.concurrency = parameters.slots;
        builder.add(server, {});
    }
    state::findings found;
    auto const config = builder.build(found);
    for (int i = 0; i < parameters.entries; ++i)
    {
        entry n;
        n.prefixes = std::make_unique<coordination::prefix_index>(
            65536, std::chrono::duration_cast<state::duration>(std::chrono::minutes{5}));
        n.router = std::make_unique<coordination::router>(policy_copy(policy), *n.prefixes);
        n.table = std::make_unique<state::backend_table>();
        n.table->apply(*config, state::time_point{});
        entries_.push_back(std::move(n));
    }
}

state::time_point engine_fleet::now() const
{
    constexpr double start_seconds = 3600; // by then no engine is in its slow start
    auto const since = std::chrono::duration<double>(now_seconds_ + start_seconds);
    return state::time_point{std::chrono::duration_cast<state::duration>(since)};
}

void engine_fleet::schedule(double at, std::function<void()> run)
{
    events_.push({at, std::move(run), ++last_order_});
}

trace_result engine_fleet::simulate(std::vector<trace_request> const& trace)
{
    for (auto const& r : trace)
    {
        auto const id = static_cast<int>(jobs_.size());
        jobs_.push_back({r});
        schedule(r.arrival_seconds, [this, id] { dispatch(id); });
    }
    last_arrival_seconds_ = trace.back().arrival_seconds;
    schedule(0, [this] { report(0); });
    if (parameters_.reclaim_at_seconds >= 0)
        schedule(parameters_.reclaim_at_seconds, [this] { reclaim(); });
    while (!events_.empty())
    {
        auto const next = events_.top();
        events_.pop();
        now_seconds_ = next.at;
        next.run();
    }
    for (auto const& j : jobs_)
        result_.first_token_seconds.push_back(j.first_token_at - j.request.arrival_seconds);
    return result_;
}

void engine_fleet::dispatch(int id)
{
    auto& j = jobs_[id];
    auto& n = entries_[j.request.entry];
    coordination::routing_request request;
    request.prompt = state::token_count{j.request.prompt_tokens};
    request.prefix = hashes_of(j.request.prefix, j.request.prompt_tokens);
    request.region = state::region_id{"here"};
    auto const candidates = coordination::backend_subset(
        state::instance_id{"entry-" + std::to_string(j.request.entry)},
        n.table->routable(state::service_id{"s"}, now()), parameters_.subset_size);
    auto const chosen = n.router->choose(candidates, request, now(), random_);
    auto const index = index_of(*chosen);
    n.table->record_sent(*chosen, request.prompt);
    n.prefixes->record_blocks(*chosen, request.prefix, now());
    engine_of_job_[id] = index;
    auto& e = engines_[index];
    e.queue.push_back(id);
    e.queued_prefill += j.request.prompt_tokens;
    if (e.running < parameters_.slots)
        start(index, id);
}

std::int64_t engine_fleet::prefill_tokens(engine& e, job const& j)
{
    auto const full_tokens = j.request.prompt_tokens + j.answered_tokens;
    auto const it = std::find(e.cached_prefixes.begin(), e.cached_prefixes.end(), j.request.prefix);
    bool const is_cached = it != e.cached_prefixes.end();
    if (is_cached)
        e.cached_prefixes.erase(it);
    e.cached_prefixes.push_back(j.request.prefix);
    if (e.cached_prefixes.size() > parameters_.max_cached_prefixes)
        e.cached_prefixes.erase(e.cached_prefixes.begin());
    constexpr double shared_prompt_share = 0.75;
    auto const shared_tokens = static_cast<std::int64_t>(
        shared_prompt_share * static_cast<double>(j.request.prompt_tokens));
    return is_cached ? full_tokens - shared_tokens : full_tokens;
}

void engine_fleet::start(int engine_index, int id)
{
    auto& e = engines_[engine_index];
    auto& j = jobs_[id];
    std::erase(e.queue, id);
    ++e.running;
    e.active.insert(id);
    auto const tokens = prefill_tokens(e, j);
    result_.prefilled_tokens += tokens;
    if (j.answered_tokens > 0)
        result_.recomputed_tokens += tokens;
    e.prefill_free_at = std::max(e.prefill_free_at, now_seconds_) +
                        static_cast<double>(tokens) / parameters_.prefill_tokens_per_second;
    j.started_at = now_seconds_;
    auto const prefilled_at = e.prefill_free_at;
    auto const finished_at =
        prefilled_at + static_cast<double>(j.request.answer_tokens - j.answered_tokens) *
                           parameters_.token_interval_seconds;
    schedule(
        prefilled_at,
        [this, engine_index, id]
        {
            auto& running_engine = engines_[engine_index];
            if (running_engine.reclaimed || !running_engine.active.contains(id))
                return;
            running_engine.queued_prefill -= jobs_[id].request.prompt_tokens;
            if (jobs_[id].first_token_at < 0)
                jobs_[id].first_token_at = now_seconds_;
        });
    schedule(finished_at, [this, engine_index, id] { finish(engine_index, id); });
}

void engine_fleet::finish(int engine_index, int id)
{
    auto& e = engines_[engine_index];
    if (e.reclaimed || e.active.erase(id) == 0)
        return;
    --e.running;
    result_.cost += (now_seconds_ - jobs_[id].started_at) * e.price;
    entries_[jobs_[id].request.entry].table->record_end(id_of(engine_index));
    if (!e.queue.empty())
        start(engine_index, e.queue.front());
}

void engine_fleet::report(double at)
{
    for (auto& n : entries_)
        for (std::size_t i = 0; i < engines_.size(); ++i)
        {
            state::load_report r;
            r.running = engines_[i].running;
            r.queued = static_cast<std::int64_t>(engines_[i].queue.size());
            r.queued_prefill = state::token_count{std::max<std::int64_t>(
                0, static_cast<std::int64_t>(
                       (engines_[i].prefill_free_at - now_seconds_) *
                       parameters_.prefill_tokens_per_second))};
            r.prefill_tokens_per_second = parameters_.prefill_tokens_per_second;
            r.decode_tokens_per_second = 1 / parameters_.token_interval_seconds;
            r.at = now();
            n.table->record_load(id_of(static_cast<int>(i)), r);
        }
    if (at < last_arrival_seconds_)
        schedule(
            at + parameters_.report_interval_seconds,
            [this, at] { report(at + parameters_.report_interval_seconds); });
}

void engine_fleet::reclaim()
{
    std::vector<int> lost_jobs;
    for (std::size_t i = 0; i < engines_.size(); ++i)
    {
        auto& e = engines_[i];
        if (e.domain != 0)
            continue;
        e.reclaimed = true;
        lost_jobs.insert(lost_jobs.end(), e.active.begin(), e.active.end());
        lost_jobs.insert(lost_jobs.end(), e.queue.begin(), e.queue.end());
        for (auto& n : entries_)
            n.table->mark_leaving(id_of(static_cast<int>(i)), {});
    }
    for (auto const id : lost_jobs)
    {
        auto& j = jobs_[id];
        auto const& e = engines_[engine_of_job_[id]];
        if (j.first_token_at >= 0)
        {
            auto const decoded =
                (now_seconds_ - j.first_token_at) / parameters_.token_interval_seconds;
            j.answered_tokens = std::clamp<std::int64_t>(
                static_cast<std::int64_t>(decoded), 1, j.request.answer_tokens - 1);
            result_.cost += (now_seconds_ - j.started_at) * e.price;
        }
        dispatch(id);
    }
}

} // namespace auburnweir::bench
