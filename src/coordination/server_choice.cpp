#include "coordination/server_choice.hpp"

#include "coordination/domain_spillover.hpp"
#include "coordination/rendezvous.hpp"
#include "coordination/weighted_choice.hpp"
#include "state/overloaded.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

using state::server_view;

/// A load report loses its weight linearly over this time.
constexpr state::duration report_validity = std::chrono::milliseconds{1500};

/// Part of its slots with which a cold server counts as loaded, at least.
constexpr double cold_load_share = 0.5;

struct loaded_server
{
    server_view view;
    double load;
};

std::vector<loaded_server> with_loads(std::vector<server_view> servers, state::time_point now)
{
    std::vector<loaded_server> all;
    all.reserve(servers.size());
    for (auto& v : servers)
    {
        auto const load = estimated_load(v, now);
        all.push_back({std::move(v), load});
    }
    return all;
}

server_view least_loaded_of(
    std::vector<loaded_server> const& all, choice_request const& request, double far_penalty,
    std::mt19937_64& random)
{
    std::uniform_real_distribution<double> tie_break(0, 0.5);
    std::size_t best = 0;
    double best_cost = 0;
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        bool const is_far = all[i].view.listed.failure_domain != request.failure_domain;
        auto const cost = all[i].load + (is_far ? far_penalty : 0) + tie_break(random);
        if (i == 0 || cost < best_cost)
        {
            best = i;
            best_cost = cost;
        }
    }
    return all[best].view;
}

bool is_full(loaded_server const& s, affinity_with_bounded_load const& policy)
{
    return s.load >= policy.full_share * static_cast<double>(s.view.listed.slots);
}

server_view by_affinity(
    std::vector<loaded_server> all, choice_request const& request, double own_share,
    affinity_with_bounded_load const& policy, std::mt19937_64& random)
{
    std::vector<loaded_server> near;
    for (auto const& s : all)
        if (s.view.listed.failure_domain == request.failure_domain)
            near.push_back(s);
    bool const near_has_capacity =
        std::any_of(near.begin(), near.end(), [&](auto const& s) { return !is_full(s, policy); });
    bool const stays_near =
        near_has_capacity && stays_in_domain(request.affinity, request.failure_domain, own_share);
    auto candidates = stays_near ? std::move(near) : std::move(all);
    if (request.affinity.empty())
        return least_loaded_of(candidates, request, 0, random);
    double total = 0;
    for (auto const& s : candidates)
        total += s.load;
    auto const bound =
        policy.bound_factor * total / static_cast<double>(candidates.size()) + policy.allowance;
    std::sort(
        candidates.begin(), candidates.end(),
        [&](auto const& a, auto const& b)
        {
            return rendezvous_weight(request.affinity, a.view.listed.id.str()) >
                   rendezvous_weight(request.affinity, b.view.listed.id.str());
        });
    for (auto const& s : candidates)
        if (s.load <= bound && !is_full(s, policy))
            return s.view;
    return least_loaded_of(candidates, request, 0, random);
}

} // namespace

double estimated_load(server_view const& view, state::time_point now)
{
    auto sent = static_cast<double>(view.in_flight);
    // A cold server is slower and takes few requests, so warm servers come first until they are
    // half full. It must not count as full: it has to take its share when many servers are cold.
    if (view.is_cold(now))
        sent = std::max(sent, cold_load_share * static_cast<double>(view.listed.slots));
    if (!view.load)
        return sent;
    auto const reported = static_cast<double>(view.load->running + view.load->waiting);
    auto const report_age = now - view.load_at;
    if (report_age > report_validity)
        return sent;
    auto const weight = 1 - std::chrono::duration<double>(report_age).count() /
                                std::chrono::duration<double>(report_validity).count();
    return std::max(sent, weight * reported + static_cast<double>(view.sent_since_load));
}

namespace
{

/// Chooses by a policy that does not know the servers' speed.
template <class Choice>
std::optional<placed_server> choose_unweighted(
    std::vector<server_view> servers, choice_request const& request, state::time_point now,
    Choice const& choice)
{
    auto const own_share = own_domain_share(servers, request.failure_domain);
    std::erase_if(
        servers,
        [&](server_view const& v) { return request.tried_backends.contains(v.listed.id); });
    if (servers.empty())
        return std::nullopt;
    erase_unless_all(servers, [&](server_view const& v) { return is_refusing(v, request, now); });
    erase_unless_all(servers, [&](server_view const& v) { return v.refused_recently(now); });
    return placed_server{choice(with_loads(std::move(servers), now), own_share), std::nullopt};
}

} // namespace

bool is_refusing(server_view const& view, choice_request const& request, state::time_point now)
{
    return view.refused_recently(now) || (!request.can_retry_refusal && view.may_refuse_again(now));
}

bool needs_held_retry(server_view const& view, choice_request const& request, state::time_point now)
{
    return request.can_retry_refusal && view.may_refuse_again(now);
}

std::optional<placed_server> place_request(
    choice_policy const& policy, std::vector<server_view> servers, choice_request const& request,
    state::time_point now, std::mt19937_64& random)
{
    using result = std::optional<placed_server>;
    return std::visit(
        state::overloaded{
            [&](nearest_least_loaded const& p)
            {
                return choose_unweighted(
                    std::move(servers), request, now,
                    [&](auto const& all, double)
                    { return least_loaded_of(all, request, p.far_penalty, random); });
            },
            [&](affinity_with_bounded_load const& p)
            {
                return choose_unweighted(
                    std::move(servers), request, now,
                    [&](auto all, double own_share)
                    { return by_affinity(std::move(all), request, own_share, p, random); });
            },
            [&](speed_weighted_placement const& p) -> result
            {
                auto const chosen = choose_weighted(p, servers, request, now, random);
                if (!chosen)
                    return std::nullopt;
                return placed_server{std::move(servers[chosen->index]), chosen->kind};
            }},
        policy);
}

std::optional<server_view> choose_server(
    choice_policy const& policy, std::vector<server_view> servers, choice_request const& request,
    state::time_point now, std::mt19937_64& random)
{
    auto placed = place_request(policy, std::move(servers), request, now, random);
    if (!placed)
        return std::nullopt;
    return std::move(placed->server);
}

state::token_count shared_tokens_of(state::forwarded_request const& request)
{
    state::token_count total{0};
    for (std::size_t i = 0; i + 1 < request.segments.size(); ++i)
        total += request.segments[i].tokens;
    return total;
}

std::string affinity_of(state::forwarded_request const& request)
{
    if (request.segments.size() < 2)
        return {};
    return request.segments[request.segments.size() - 2].id;
}

} // namespace auburnweir::coordination
