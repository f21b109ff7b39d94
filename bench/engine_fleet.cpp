#include "engine_fleet.hpp"

#include "coordination/backend_subset.hpp"

#include <algorithm>

namespace auburnweir::bench
{

namespace
{

constexpr double hour_price[] = {1.2, 0.9, 0.8, 1.0};

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

coordination::routing_policy own_copy(coordination::routing_policy const& policy)
{
    if (std::holds_alternative<coordination::round_robin>(policy))
        return coordination::round_robin{};
    return policy;
}

} // namespace

engine_fleet::engine_fleet(fleet_plan plan, coordination::routing_policy policy, std::uint64_t seed)
    : plan_(plan)
    , random_(seed)
{
    state::configuration::builder builder;
    for (int d = 0; d < plan.domains; ++d)
    {
        state::failure_domain domain;
        domain.id = state::failure_domain_id{std::to_string(d)};
        domain.region = state::region_id{"here"};
        domain.price = state::price_per_hour{static_cast<std::int64_t>(hour_price[d % 4] * 1e6)};
        builder.add(domain, {});
    }
    state::service service;
    service.id = state::service_id{"s"};
    builder.add(service, {});
    for (int i = 0; i < plan.engines; ++i)
    {
        engine e;
        e.domain = i % plan.domains;
        e.price = hour_price[e.domain % 4];
        engines_.push_back(e);
        state::backend_server server;
        server.id = id_of(i);
        server.service = service.id;
        server.failure_domain = state::failure_domain_id{std::to_string(e.domain)};
        server.concurrency = plan.slots;
        builder.add(server, {});
    }
    state::findings found;
    auto const config = builder.build(found);
    for (int i = 0; i < plan.entries; ++i)
    {
        entry n;
        n.prefixes = std::make_unique<coordination::prefix_index>(
            65536, std::chrono::duration_cast<state::duration>(std::chrono::minutes{5}));
        n.router = std::make_unique<coordination::router>(own_copy(policy), *n.prefixes);
        n.table = std::make_unique<state::backend_table>();
        n.table->apply(*config, state::time_point{});
        entries_.push_back(std::move(n));
    }
}

state::time_point engine_fleet::now() const
{
    constexpr double warmed_up = 3600; // all engines are past their slow start
    auto const since = std::chrono::duration<double>(time_ + warmed_up);
    return state::time_point{std::chrono::duration_cast<state::duration>(since)};
}

void engine_fleet::schedule(double at, std::function<void()> run)
{
    events_.push({at, std::move(run), ++order_});
}

trace_result engine_fleet::play(std::vector<trace_request> const& trace)
{
    for (auto const& r : trace)
    {
        auto const id = static_cast<int>(jobs_.size());
        jobs_.push_back({r});
        schedule(r.at, [this, id] { dispatch(id); });
    }
    end_ = trace.back().at;
    schedule(0, [this] { report(0); });
    if (plan_.reclaim_at >= 0)
        schedule(plan_.reclaim_at, [this] { reclaim(); });
    while (!events_.empty())
    {
        auto const next = events_.top();
        events_.pop();
        time_ = next.at;
        next.run();
    }
    for (auto const& j : jobs_)
        result_.first_token.push_back(j.first - j.request.at);
    return result_;
}

void engine_fleet::dispatch(int id)
{
    auto& j = jobs_[id];
    auto& n = entries_[j.request.entry];
    coordination::routing_request request;
    request.prompt = state::token_count{j.request.prompt};
    request.prefix = hashes_of(j.request.prefix, j.request.prompt);
    request.region = state::region_id{"here"};
    auto const candidates = coordination::backend_subset(
        state::instance_id{"entry-" + std::to_string(j.request.entry)},
        n.table->routable(state::service_id{"s"}, now()), plan_.subset);
    auto const chosen = n.router->choose(candidates, request, now(), random_);
    auto const index = index_of(*chosen);
    n.table->record_sent(*chosen, request.prompt);
    n.prefixes->record_blocks(*chosen, request.prefix, now());
    placed_[id] = index;
    auto& e = engines_[index];
    e.queue.push_back(id);
    e.queued_prefill += j.request.prompt;
    if (e.running < plan_.slots)
        start(index, id);
}

std::int64_t engine_fleet::to_compute(engine& e, job const& j)
{
    auto const whole = j.request.prompt + j.done;
    auto const it = std::find(e.cached.begin(), e.cached.end(), j.request.prefix);
    bool const hit = it != e.cached.end();
    if (hit)
        e.cached.erase(it);
    e.cached.push_back(j.request.prefix);
    if (e.cached.size() > plan_.cached_prefixes)
        e.cached.erase(e.cached.begin());
    constexpr double shared_part = 0.75; // of the prompt
    auto const shared =
        static_cast<std::int64_t>(shared_part * static_cast<double>(j.request.prompt));
    return hit ? whole - shared : whole;
}

void engine_fleet::start(int engine_index, int id)
{
    auto& e = engines_[engine_index];
    auto& j = jobs_[id];
    std::erase(e.queue, id);
    ++e.running;
    e.active.insert(id);
    auto const tokens = to_compute(e, j);
    result_.prefilled += tokens;
    if (j.done > 0)
        result_.recomputed += tokens;
    e.prefill_free_at =
        std::max(e.prefill_free_at, time_) + static_cast<double>(tokens) / plan_.prefill_rate;
    j.began = time_;
    auto const ready = e.prefill_free_at;
    auto const ends = ready + static_cast<double>(j.request.answer - j.done) * plan_.token_seconds;
    schedule(
        ready,
        [this, engine_index, id]
        {
            auto& at = engines_[engine_index];
            if (at.gone || !at.active.contains(id))
                return;
            at.queued_prefill -= jobs_[id].request.prompt;
            if (jobs_[id].first < 0)
                jobs_[id].first = time_;
        });
    schedule(ends, [this, engine_index, id] { finish(engine_index, id); });
}

void engine_fleet::finish(int engine_index, int id)
{
    auto& e = engines_[engine_index];
    if (e.gone || e.active.erase(id) == 0)
        return;
    --e.running;
    result_.cost += (time_ - jobs_[id].began) * e.price;
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
                       (engines_[i].prefill_free_at - time_) * plan_.prefill_rate))};
            r.prefill_tokens_per_second = plan_.prefill_rate;
            r.decode_tokens_per_second = 1 / plan_.token_seconds;
            r.at = now();
            n.table->record_load(id_of(static_cast<int>(i)), r);
        }
    if (at < end_)
        schedule(at + plan_.report_lag, [this, at] { report(at + plan_.report_lag); });
}

void engine_fleet::reclaim()
{
    std::vector<int> lost;
    for (std::size_t i = 0; i < engines_.size(); ++i)
    {
        auto& e = engines_[i];
        if (e.domain != 0)
            continue;
        e.gone = true;
        lost.insert(lost.end(), e.active.begin(), e.active.end());
        lost.insert(lost.end(), e.queue.begin(), e.queue.end());
        for (auto& n : entries_)
            n.table->mark_leaving(id_of(static_cast<int>(i)), {});
    }
    for (auto const id : lost)
    {
        auto& j = jobs_[id];
        auto const& e = engines_[placed_[id]];
        if (j.first >= 0)
        {
            auto const decoded = (time_ - j.first) / plan_.token_seconds;
            j.done = std::clamp<std::int64_t>(
                static_cast<std::int64_t>(decoded), 1, j.request.answer - 1);
            result_.cost += (time_ - j.began) * e.price;
        }
        dispatch(id);
    }
}

} // namespace auburnweir::bench
