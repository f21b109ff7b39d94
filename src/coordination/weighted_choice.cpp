#include "coordination/weighted_choice.hpp"

#include "coordination/domain_spillover.hpp"
#include "coordination/rendezvous.hpp"
#include "coordination/server_weights.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace auburnweir::coordination
{

namespace
{

using state::server_view;

/// The load that all instances have seen loses its weight linearly over this time: some report
/// periods, so that it bridges single lost reports.
constexpr state::duration rated_load_validity = std::chrono::seconds{3};

/// Servers report their work factor with each response and it changes several times per second; an
/// older one says nothing about the next request.
constexpr state::duration work_factor_validity = std::chrono::milliseconds{200};

/// Expected times that differ by less count as equal. The estimates are not more exact, and equal
/// prompts should meet.
constexpr double tie_factor = 1.2;

/// Bound of the load of a long request's server by the mean load per weight, and requests added to
/// it; both as for `affinity_with_bounded_load`.
constexpr double bound_factor = 1.25;
constexpr double bound_allowance = 3;

constexpr double percent = 100;

constexpr std::string_view domain_key_text = "failure domain";

struct candidate
{
    std::size_t index = 0;    ///< of the server's view
    std::uint64_t domain = 0; ///< hash; set only where a request stays in a domain
    double load = 0;          ///< set only where it is needed: it costs more than the other members
    double weight = 1;
    double slots = 1;
    bool tried = false;
    bool refusing = false;         ///< for this request
    bool refused_recently = false; ///< for any
    bool in_lane = true;

    bool is_full() const { return load >= slots; }
    double load_per_weight() const { return load / weight; }
};

using candidates = std::vector<candidate>;

double work_of(server_view const& view, state::time_point now)
{
    if (!view.load || !view.load->work || now - view.load_at >= work_factor_validity)
        return 1;
    return static_cast<double>(view.load->work->count()) / percent;
}

/// Identifies a domain within one selection; comparing hashes is cheaper than comparing texts.
std::uint64_t domain_hash(state::failure_domain_id const& id)
{
    return rendezvous_weight(domain_key_text, id.str());
}

/// Chooses among candidates for one request. The results are indices of the servers' views.
class weighted_chooser
{
public:
    weighted_chooser(
        std::vector<server_view> const& servers, choice_request const& request,
        state::time_point now, std::mt19937_64& random)
        : servers_(servers)
        , request_(request)
        , now_(now)
        , random_(random)
    {
    }

    std::size_t over_deployment(candidates all);
    /// @param own_share  of the requests that the own failure domain's servers serve
    std::size_t in_subset(candidates const& all, double own_share);

private:
    std::string const& id_of(candidate const& c) const { return servers_[c.index].listed.id.str(); }

    template <class Permitted>
    candidate const* first_by_affinity(candidates const& all, Permitted const& permitted) const;
    template <class Cost>
    candidate const& least(candidates const& all, Cost const& cost);
    template <class Permitted>
    candidates subset_of(candidates const& all, Permitted const& permitted) const;
    bool stays(double own_share);
    double load_of(candidate const& c) const { return rated_load(servers_[c.index], now_); }
    bool is_full(candidate const& c) const { return load_of(c) >= c.slots; }
    /// Relative to that of one request at an idle server of weight 1 and one slot.
    double expected_time(candidate const& c) const
    {
        return (c.load + 1) / (c.weight * c.slots) * work_of(servers_[c.index], now_);
    }

    std::vector<server_view> const& servers_;
    choice_request const& request_;
    state::time_point now_;
    std::mt19937_64& random_;
};

/// The first of the permitted ones in the affinity's order; null when none is permitted.
template <class Permitted>
candidate const* weighted_chooser::first_by_affinity(
    candidates const& all, Permitted const& permitted) const
{
    rendezvous_key const key(request_.affinity);
    candidate const* first = nullptr;
    double best = -std::numeric_limits<double>::infinity();
    std::uint64_t min_hash = 0;
    for (auto const& c : all)
    {
        if (!permitted(c))
            continue;
        auto const hash = key.weight(id_of(c));
        if (first && hash < min_hash)
            continue;
        auto const score = weighted_score(hash, c.weight);
        if (first && score <= best)
            continue;
        first = &c;
        best = score;
        min_hash = min_hash_for(score);
    }
    return first;
}

/// Of the candidates with about the least cost, the first in the affinity's order; without affinity
/// any of them.
/// @pre `all` is not empty
template <class Cost>
candidate const& weighted_chooser::least(candidates const& all, Cost const& cost)
{
    double lowest = std::numeric_limits<double>::infinity();
    for (auto const& c : all)
        lowest = std::min(lowest, cost(c));
    auto const is_tied = [&](candidate const& c) { return cost(c) <= lowest * tie_factor; };
    if (!request_.affinity.empty())
        return *first_by_affinity(all, is_tied);
    auto const tied = std::count_if(all.begin(), all.end(), is_tied);
    auto skipped = std::uniform_int_distribution<std::ptrdiff_t>(0, tied - 1)(random_);
    return *std::find_if(
        all.begin(), all.end(), [&](candidate const& c) { return is_tied(c) && skipped-- == 0; });
}

/// This instance's subset of the permitted candidates, with their loads.
template <class Permitted>
candidates weighted_chooser::subset_of(candidates const& all, Permitted const& permitted) const
{
    struct member
    {
        double score = 0;
        candidate const* server = nullptr;
    };
    rendezvous_key const key(request_.instance.str());
    std::array<member, instance_subset_size> members; // by descending score
    std::size_t count = 0;
    std::uint64_t min_hash = 0;
    for (auto const& c : all)
    {
        if (!permitted(c))
            continue;
        auto const hash = key.weight(id_of(c));
        if (count == members.size() && hash < min_hash)
            continue;
        auto const score = weighted_score(hash, c.weight);
        if (count == members.size() && score <= members.back().score)
            continue;
        auto at = count < members.size() ? count++ : count - 1;
        for (; at > 0 && members[at - 1].score < score; --at)
            members[at] = members[at - 1];
        members[at] = {score, &c};
        min_hash = min_hash_for(members[count - 1].score);
    }
    candidates result;
    result.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        result.push_back(*members[i].server);
        result.back().load = load_of(result.back());
    }
    return result;
}

std::size_t weighted_chooser::over_deployment(candidates all)
{
    double load = 0;
    double weight = 0;
    for (auto& c : all)
    {
        c.load = load_of(c);
        load += c.load;
        weight += c.weight;
    }
    auto const bound = bound_factor * load / weight + bound_allowance;
    auto const* first = first_by_affinity(
        all, [&](candidate const& c) { return c.load_per_weight() < bound && !c.is_full(); });
    if (first)
        return first->index;
    return least(all, [](candidate const& c) { return c.load_per_weight(); }).index;
}

bool weighted_chooser::stays(double own_share)
{
    if (request_.affinity.empty())
        return std::uniform_real_distribution<double>(0, 1)(random_) < own_share;
    return stays_in_domain(request_.affinity, request_.failure_domain, own_share);
}

std::size_t weighted_chooser::in_subset(candidates const& all, double own_share)
{
    auto const own = domain_hash(request_.failure_domain);
    auto const has_capacity = [&](bool near)
    {
        return std::any_of(
            all.begin(), all.end(),
            [&](candidate const& c) { return (c.domain == own) == near && !is_full(c); });
    };
    bool const any_near =
        std::any_of(all.begin(), all.end(), [&](candidate const& c) { return c.domain == own; });
    bool const near = has_capacity(false) ? has_capacity(true) && stays(own_share) : any_near;
    auto const in_area = [&](candidate const& c) { return (c.domain == own) == near; };
    auto subset = subset_of(all, in_area);
    if (std::all_of(subset.begin(), subset.end(), [&](auto const& c) { return c.is_full(); }))
    {
        auto others = subset_of(all, [&](auto const& c) { return in_area(c) && !is_full(c); });
        if (!others.empty())
            subset = std::move(others);
    }
    return least(subset, [&](candidate const& c) { return expected_time(c); }).index;
}

/// Share of the requests that the servers of the own failure domain serve, by their weights.
double own_share_of(candidates const& all, state::failure_domain_id const& domain)
{
    struct domain_capacity
    {
        std::uint64_t domain = 0;
        double slots = 0;
    };
    std::vector<domain_capacity> domains{{domain_hash(domain), 0}};
    for (auto const& c : all)
    {
        auto const known = std::find_if(
            domains.begin(), domains.end(), [&](auto const& d) { return d.domain == c.domain; });
        auto& d =
            known == domains.end() ? domains.emplace_back(domain_capacity{c.domain, 0}) : *known;
        d.slots += c.slots * c.weight;
    }
    std::vector<double> capacities;
    capacities.reserve(domains.size());
    for (auto const& d : domains)
        capacities.push_back(d.slots);
    return own_domain_share(capacities, capacities.front());
}

bool is_long(choice_request const& request)
{
    return request.shared_tokens >= min_long_request;
}

candidates candidates_of(
    std::vector<server_view> const& servers, choice_request const& request, state::time_point now)
{
    auto const weights = server_weights(servers, now);
    rendezvous_key const domain_key(domain_key_text);
    candidates all(servers.size());
    for (std::size_t i = 0; i < servers.size(); ++i)
    {
        auto const& v = servers[i];
        auto& c = all[i];
        c.index = i;
        if (!is_long(request))
            c.domain = domain_key.weight(v.listed.failure_domain.str());
        c.weight = weights[i];
        c.slots = static_cast<double>(std::max<std::int64_t>(1, v.listed.slots));
        c.tried = request.tried_backends.contains(v.listed.id);
        c.refusing = is_refusing(v, request, now);
        c.refused_recently = v.refused_recently(now);
    }
    return all;
}

/// Removes the servers of the other lane. @return false when no untried server would be left
bool keep_lane(candidates& all, std::vector<server_view> const& servers, server_lane lane)
{
    bool any = false;
    for (auto& c : all)
    {
        c.in_lane = lane_of(servers[c.index].listed.id) == lane;
        any = any || (c.in_lane && !c.tried);
    }
    if (any)
        std::erase_if(all, [](candidate const& c) { return !c.in_lane; });
    return any;
}

} // namespace

server_lane lane_of(state::backend_id const& id)
{
    static rendezvous_key const key("lane");
    return key.weight(id.str()) % 2 == 0 ? server_lane::long_requests : server_lane::other_requests;
}

double rated_load(server_view const& view, state::time_point now)
{
    auto const own = estimated_load(view, now);
    if (!view.rating)
        return own;
    auto const age = now - view.rated_at + view.rating->load_age;
    if (age >= rated_load_validity)
        return own;
    auto const passed = static_cast<double>(std::max(age, state::duration::zero()).count());
    auto const share = 1 - passed / static_cast<double>(rated_load_validity.count());
    auto const sent = std::min(view.in_flight, view.sent_since_load);
    return std::max(
        own, share * static_cast<double>(view.rating->load) + static_cast<double>(sent));
}

std::optional<weighted_choice> choose_weighted(
    speed_weighted_placement const& policy, std::vector<server_view> const& servers,
    choice_request const& request, state::time_point now, std::mt19937_64& random)
{
    auto all = candidates_of(servers, request, now);
    bool const over_deployment = is_long(request);
    auto const own_lane =
        over_deployment ? server_lane::long_requests : server_lane::other_requests;
    placement_kind kind{
        over_deployment ? placement_scope::deployment : placement_scope::subset, false};
    if (policy.separate_lanes)
        kind.left_lane = !keep_lane(all, servers, own_lane);
    auto const own_share = over_deployment ? 0 : own_share_of(all, request.failure_domain);
    std::erase_if(all, [](candidate const& c) { return c.tried; });
    if (all.empty())
        return std::nullopt;
    erase_unless_all(all, [](candidate const& c) { return c.refusing; });
    erase_unless_all(all, [](candidate const& c) { return c.refused_recently; });
    weighted_chooser chooser(servers, request, now, random);
    auto const chosen = over_deployment ? chooser.over_deployment(std::move(all))
                                        : chooser.in_subset(all, own_share);
    return weighted_choice{chosen, kind};
}

} // namespace auburnweir::coordination
