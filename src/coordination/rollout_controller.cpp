#include "coordination/rollout_controller.hpp"

#include "coordination/rendezvous.hpp"
#include "coordination/sequential_test.hpp"
#include "state/overloaded.hpp"

#include <algorithm>
#include <cmath>

namespace auburnweir::coordination
{

namespace
{

using state::outcome_counts;

/// Counts of the old and the new version on one route.
struct compared_route
{
    state::route_id route;
    outcome_counts old_version;
    outcome_counts new_version;
};

std::vector<compared_route> routes_of(
    state::rollout const& plan, state::version_evidence const& evidence)
{
    std::map<state::route_id, compared_route> routes;
    for (auto const& [key, counts] : evidence)
    {
        if (key.service != plan.service || (key.version != plan.from && key.version != plan.to))
            continue;
        auto& r = routes[key.route];
        r.route = key.route;
        (key.version == plan.to ? r.new_version : r.old_version).add(counts);
    }
    std::vector<compared_route> all;
    all.reserve(routes.size());
    for (auto& [id, r] : routes)
        all.push_back(std::move(r));
    return all;
}

trial_counts failures_of(outcome_counts const& c)
{
    return {c.total(), c.failed};
}

/// The lowest latency class that, with all higher ones, has at most `share` of the successful
/// requests.
std::size_t slow_latency_class(outcome_counts const& c, double share)
{
    std::uint64_t beyond = 0;
    for (std::size_t i = state::latency_class_count; i > 0; --i)
    {
        beyond += c.latency[i - 1];
        if (static_cast<double>(beyond) > share * static_cast<double>(c.succeeded))
            return i;
    }
    return 0;
}

trial_counts slower_than(outcome_counts const& c, std::size_t first_class)
{
    std::uint64_t slow = 0;
    for (auto i = first_class; i < state::latency_class_count; ++i)
        slow += c.latency[i];
    return {c.succeeded, slow};
}

std::string describe(
    compared_route const& r, std::string const& measure, trial_counts const& old_counts,
    trial_counts const& new_counts)
{
    return "route " + r.route.str() + ": " + measure + " " + std::to_string(new_counts.events) +
           " of " + std::to_string(new_counts.trials) + ", before " +
           std::to_string(old_counts.events) + " of " + std::to_string(old_counts.trials);
}

} // namespace

double rollout_controller::share(state::rollout_state const& current) const
{
    return std::visit(
        state::overloaded{
            [&](state::rollout_in_progress const& r)
            { return settings_.shares[std::min(r.step, settings_.shares.size() - 1)]; },
            [](state::rollout_done const&) { return 1.0; },
            [](state::rollout_rolled_back const&) { return 0.0; }},
        current);
}

bool rollout_controller::uses_new_version(
    state::request_id const& id, state::rollout const& plan,
    state::rollout_state const& current) const
{
    auto const new_version_share = share(current);
    if (new_version_share >= 1)
        return true;
    auto const draw = rendezvous_weight(plan.service.str() + "/" + plan.to.str(), id.str());
    return std::ldexp(static_cast<double>(draw), -64) < new_version_share;
}

std::optional<std::string> rollout_controller::evidence_against(
    state::rollout const& plan, state::version_evidence const& evidence) const
{
    auto const threshold = std::log(1 / settings_.max_false_rollback_probability);
    for (auto const& r : routes_of(plan, evidence))
    {
        auto const old_failures = failures_of(r.old_version);
        auto const new_failures = failures_of(r.new_version);
        if (log_evidence_above(new_failures, rate_upper_bound(old_failures)) > threshold)
            return describe(r, "failed", old_failures, new_failures);
        if (r.old_version.succeeded < settings_.min_reference_requests)
            continue;
        auto const slow = slow_latency_class(r.old_version, settings_.slow_request_share);
        auto const old_slow = slower_than(r.old_version, slow);
        auto const new_slow = slower_than(r.new_version, slow);
        if (log_evidence_above(new_slow, rate_upper_bound(old_slow)) > threshold)
            return describe(r, "slow", old_slow, new_slow);
    }
    return std::nullopt;
}

bool rollout_controller::has_enough_evidence(
    state::rollout const& plan, state::version_evidence const& evidence, double share) const
{
    auto const routes = routes_of(plan, evidence);
    std::uint64_t all = 0;
    std::uint64_t new_requests = 0;
    for (auto const& r : routes)
    {
        all += r.old_version.total() + r.new_version.total();
        new_requests += r.new_version.total();
    }
    if (new_requests < settings_.min_requests)
        return false;
    if (share < settings_.per_route_evidence_share)
        return true;
    return std::all_of(
        routes.begin(), routes.end(),
        [&](compared_route const& r)
        {
            auto const total = r.old_version.total() + r.new_version.total();
            bool const is_significant =
                static_cast<double>(total) >= settings_.min_route_share * static_cast<double>(all);
            return !is_significant || r.new_version.total() >= settings_.min_requests;
        });
}

state::duration rollout_controller::step_duration(state::rollout const& plan) const
{
    // Two more step durations are reserved before the deadline.
    auto const steps = static_cast<std::int64_t>(settings_.shares.size()) + 2;
    auto const total_duration =
        std::chrono::duration_cast<state::duration>(plan.deadline - plan.begin);
    return std::max<state::duration>(settings_.min_step_duration, total_duration / steps);
}

rollout_verdict rollout_controller::evaluate(
    state::rollout const& plan, state::rollout_in_progress const& current,
    state::version_evidence const& evidence, state::wall_time now) const
{
    if (auto const evidence_found = evidence_against(plan, evidence))
        return roll_back{*evidence_found};
    auto const time_in_step = std::chrono::duration_cast<state::duration>(now - current.since);
    bool const long_enough = time_in_step >= step_duration(plan);
    if (!long_enough || !has_enough_evidence(plan, evidence, share(current)))
    {
        bool const is_overdue = now >= plan.deadline && !current.undecided;
        if (is_overdue)
            return report_undecided{};
        return keep_step{};
    }
    if (current.step + 1 < settings_.shares.size())
        return advance{};
    return complete{};
}

std::optional<state::rollout_state> next_state(
    state::rollout_state const& current, state::rollout_state const& wanted)
{
    if (std::holds_alternative<state::rollout_rolled_back>(current))
        return std::nullopt;
    if (std::holds_alternative<state::rollout_rolled_back>(wanted))
        return wanted;
    auto const* from = std::get_if<state::rollout_in_progress>(&current);
    if (!from)
        return std::nullopt;
    auto const* to = std::get_if<state::rollout_in_progress>(&wanted);
    bool const goes_back = to && to->step < from->step;
    return goes_back ? std::nullopt : std::optional{wanted};
}

} // namespace auburnweir::coordination
