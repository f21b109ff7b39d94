#include "coordination/router.hpp"

#include "state/overloaded.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

using backend_pointers = std::vector<state::backend_view const*>;

constexpr double default_prefill_tokens_per_second = 8000;
constexpr double default_decode_seconds_per_request = 2.0;
constexpr double min_slow_start_share = 0.1;

double seconds(state::duration d)
{
    return std::chrono::duration<double>(d).count();
}

state::duration from_seconds(double s)
{
    return std::chrono::duration_cast<state::duration>(std::chrono::duration<double>(s));
}

backend_pointers eligible_backends(
    std::vector<state::backend_view> const& candidates, routing_request const& request)
{
    backend_pointers not_tried;
    for (auto const& c : candidates)
        if (!request.tried_backends.contains(c.id))
            not_tried.push_back(&c);
    backend_pointers in_other_domains;
    for (auto const* c : not_tried)
        if (!request.failed_domains.contains(c->failure_domain))
            in_other_domains.push_back(c);
    return in_other_domains.empty() ? not_tried : in_other_domains;
}

backend_pointers sample(backend_pointers pool, std::size_t count, random_engine& random)
{
    if (pool.size() <= count)
        return pool;
    for (std::size_t i = 0; i < count; ++i)
    {
        std::uniform_int_distribution<std::size_t> pick(i, pool.size() - 1);
        std::swap(pool[i], pool[pick(random)]);
    }
    pool.resize(count);
    return pool;
}

state::backend_id least_loaded_of(backend_pointers const& pool)
{
    auto const best = std::min_element(
        pool.begin(), pool.end(),
        [](auto const* a, auto const* b)
        { return estimated_requests(*a) < estimated_requests(*b); });
    return (*best)->id;
}

/// Share of its capacity that a backend server may use during its slow start, from 0.1 to 1.
double slow_start_share(
    state::backend_view const& view, predicted_first_token const& policy, state::time_point now)
{
    auto const active = now - view.active_since;
    if (active >= policy.slow_start)
        return 1.0;
    auto const share =
        static_cast<double>(active.count()) / static_cast<double>(policy.slow_start.count());
    return std::max(min_slow_start_share, share);
}

struct scored_backend
{
    state::backend_view const* view;
    state::duration wait;
};

state::backend_id cheapest_near_tie(
    std::vector<scored_backend> const& all, predicted_first_token const& policy)
{
    auto const by_wait = [](scored_backend const& a, scored_backend const& b)
    { return a.wait < b.wait; };
    auto const best = std::min_element(all.begin(), all.end(), by_wait)->wait;
    scored_backend const* chosen = nullptr;
    for (auto const& s : all)
    {
        if (s.wait > best + policy.tie_tolerance)
            continue;
        bool const cheaper = !chosen || s.view->price < chosen->view->price ||
                             (s.view->price == chosen->view->price && s.wait < chosen->wait);
        if (cheaper)
            chosen = &s;
    }
    return chosen->view->id;
}

} // namespace

std::string_view name_of(routing_policy const& policy)
{
    return std::visit(
        state::overloaded{
            [](round_robin const&) { return std::string_view{"round_robin"}; },
            [](least_loaded const&) { return std::string_view{"least_loaded"}; },
            [](power_of_two const&) { return std::string_view{"power_of_two"}; },
            [](predicted_first_token const&) { return std::string_view{"predicted_first_token"}; }},
        policy);
}

double estimated_requests(state::backend_view const& view)
{
    auto const reported = view.report.running + view.report.queued;
    auto const corrected = reported + view.sent_since_report - view.ended_since_report;
    return static_cast<double>(std::max(corrected, view.in_flight));
}

state::duration predicted_time_to_first_token(
    state::backend_view const& view, routing_request const& request,
    state::token_count expected_hit, predicted_first_token const& policy)
{
    auto const rate = view.report.prefill_tokens_per_second > 0
                          ? view.report.prefill_tokens_per_second
                          : default_prefill_tokens_per_second;
    auto const tokens_ahead = view.report.queued_prefill + view.prefill_since_report;
    auto const own_tokens = std::max(request.prompt - expected_hit, state::token_count{1});
    auto wait = static_cast<double>((tokens_ahead + own_tokens).count()) / rate;

    auto const excess = estimated_requests(view) - static_cast<double>(view.concurrency) + 1;
    if (excess > 0)
        wait += excess * default_decode_seconds_per_request / static_cast<double>(view.concurrency);

    // Reports are delayed and other instances choose too, so an engine that is almost full is
    // likely to be full when the request arrives.
    auto const used_share = estimated_requests(view) / static_cast<double>(view.concurrency);
    if (used_share > policy.busy_slot_share)
        wait += seconds(policy.full_load_penalty) * (used_share - policy.busy_slot_share) /
                (1 - policy.busy_slot_share);

    wait += 2 * seconds(view.link_latency);
    if (view.region != request.region)
    {
        wait += 2 * seconds(policy.cross_region_latency);
        wait += policy.cross_region_seconds_per_token * static_cast<double>(request.prompt.count());
    }
    return from_seconds(wait);
}

router::router(routing_policy policy, prefix_index const& prefixes)
    : policy_(std::move(policy))
    , prefixes_(prefixes)
{
}

std::optional<state::backend_id> router::choose(
    std::vector<state::backend_view> const& candidates, routing_request const& request,
    state::time_point now, random_engine& random) const
{
    auto const pool = eligible_backends(candidates, request);
    if (pool.empty())
        return std::nullopt;
    return std::visit(
        state::overloaded{
            [&](round_robin const& p) { return pool[(*p.next)++ % pool.size()]->id; },
            [&](least_loaded const&) { return least_loaded_of(pool); },
            [&](power_of_two const&) { return least_loaded_of(sample(pool, 2, random)); },
            [&](predicted_first_token const& p)
            {
                std::vector<scored_backend> all;
                for (auto const* view : sample(pool, p.sample_size, random))
                {
                    auto const hit = prefixes_.expected_hit(view->id, request.prefix, now);
                    auto const wait = predicted_time_to_first_token(*view, request, hit, p);
                    auto const scaled_wait = seconds(wait) / slow_start_share(*view, p, now);
                    all.push_back({view, from_seconds(scaled_wait)});
                }
                return cheapest_near_tie(all, p);
            }},
        policy_);
}

} // namespace auburnweir::coordination
