#include "rollout_trace.hpp"

#include "state/overloaded.hpp"

#include <cmath>

namespace auburnweir::bench
{

namespace
{

using namespace coordination;
using state::evidence_key;
using state::version_evidence;

constexpr double tick_seconds = 0.1;
constexpr int ticks_per_merge = 10; ///< counts of other instances arrive every second
constexpr int routes = 3;
constexpr double route_weight[routes] = {0.7, 0.25, 0.05};
constexpr double usual_failure_rate = 0.01;
constexpr double usual_median_seconds = 0.2;
constexpr double thin_requests_per_second = 0.05;

state::wall_time at(double seconds)
{
    return state::wall_time{std::chrono::milliseconds{static_cast<std::int64_t>(seconds * 1000)}};
}

/// One answer of either version.
struct sampled_answer
{
    bool failed;
    double seconds;
    bool faulty;    ///< by the version's fault
    bool host_lost; ///< by a reclaim; counts for neither version
};

class trace
{
public:
    trace(move_plan const& plan, move_policy const& policy)
        : plan_(plan)
        , policy_(policy)
        , random_(plan.seed)
        , local_(static_cast<std::size_t>(plan.instances))
        , stopped_(static_cast<std::size_t>(plan.instances))
    {
        move_.service = state::service_id{"s"};
        move_.from = state::version_id{"old"};
        move_.to = state::version_id{"new"};
        move_.begin = at(0);
        move_.deadline = at(plan.seconds);
        state_ = state::move_in_progress{0, at(0), false};
        std::uniform_real_distribution<double> later(0.1, 0.6);
        onset_ = plan.fault == move_fault::fails_later ? plan.seconds * later(random_) : 0;
        std::uniform_real_distribution<double> severity(0.3, 1.0);
        severity_ = severity(random_);
    }

    move_outcome play()
    {
        auto const ticks = static_cast<int>(plan_.seconds * 1.2 / tick_seconds);
        for (int i = 0; i < ticks && !ended_; ++i)
        {
            time_ = i * tick_seconds;
            serve_tick();
            if (i % ticks_per_merge == ticks_per_merge - 1)
                decide();
        }
        if (outcome_.ended.empty())
            outcome_.ended = "moving";
        outcome_.bad_share = bad_ / std::max(requests_, 1.0);
        return outcome_;
    }

private:
    rollout_controller const& mover() const
    {
        return std::visit(
            [](auto const& p) -> rollout_controller const& { return p.mover; }, policy_);
    }

    double rate() const
    {
        return plan_.fault == move_fault::thin_traffic ? thin_requests_per_second
                                                       : plan_.requests_per_second;
    }

    sampled_answer sample(bool is_new, int route, double share)
    {
        std::uniform_real_distribution<double> unit(0, 1);
        std::lognormal_distribution<double> latency(std::log(usual_median_seconds), 0.5);
        sampled_answer a{unit(random_) < usual_failure_rate, latency(random_), false, false};
        if (!is_new)
        {
            constexpr double bad_old_rate = 0.15;
            if (plan_.fault == move_fault::bad_old_version)
                a.failed = unit(random_) < bad_old_rate;
            return a;
        }
        constexpr double load_share = 0.10;
        constexpr double slow_down = 4;
        constexpr double reclaim_rate = 0.3;
        auto const fail = [&](bool here) { a.faulty = here && unit(random_) < severity_; };
        switch (plan_.fault)
        {
        case move_fault::fails_at_once:
        case move_fault::counts_lost:
            fail(true);
            break;
        case move_fault::fails_later:
            fail(time_ >= onset_);
            break;
        case move_fault::wrong_on_one_route:
            fail(route == 1);
            break;
        case move_fault::slow_under_load:
            a.faulty = share >= load_share;
            a.seconds *= a.faulty ? slow_down : 1;
            return a;
        case move_fault::slow_on_one_route:
            a.faulty = route == 1;
            a.seconds *= a.faulty ? slow_down : 1;
            return a;
        case move_fault::hosts_reclaimed:
            a.host_lost = unit(random_) < reclaim_rate;
            return a;
        default:
            return a;
        }
        a.failed = a.failed || a.faulty;
        return a;
    }

    void serve_tick()
    {
        std::poisson_distribution<int> arrivals(rate() * tick_seconds);
        std::discrete_distribution<int> route_choice(route_weight, route_weight + routes);
        std::uniform_int_distribution<int> instance_choice(0, plan_.instances - 1);
        auto const count = arrivals(random_);
        for (int i = 0; i < count; ++i)
        {
            auto const node = instance_choice(random_);
            auto const route = route_choice(random_);
            state::request_id const id{std::to_string(random_())};
            auto const share = mover().share(state_);
            bool const is_new = !stopped_[node] && mover().goes_to_new(id, move_, state_);
            auto const answer = sample(is_new, route, share);
            ++requests_;
            if (answer.faulty)
            {
                ++bad_;
                if (!first_bad_)
                    first_bad_ = time_;
            }
            if (!answer.host_lost)
                record(node, is_new, route, answer);
        }
    }

    void record(int node, bool is_new, int route, sampled_answer const& a)
    {
        auto& c = local_[node][evidence_key{
            move_.service, is_new ? move_.to : move_.from, state::route_id{std::to_string(route)}}];
        if (a.failed)
        {
            ++c.failed;
        }
        else
        {
            ++c.succeeded;
            ++c.latency[state::latency_class(a.seconds)];
        }
        bool const sequential = std::holds_alternative<sequential_policy>(policy_);
        if (sequential && is_new && a.failed && mover().evidence_against(move_, local_[node]))
            stopped_[node] = true;
    }

    version_evidence merged() const
    {
        version_evidence all;
        constexpr int cut_off_share = 3; // a third of the instances
        for (int n = 0; n < plan_.instances; ++n)
        {
            bool const cut =
                plan_.fault == move_fault::counts_lost && n < plan_.instances / cut_off_share;
            if (cut)
                continue;
            for (auto const& [key, counts] : local_[n])
                all[key].add(counts);
        }
        return all;
    }

    rollout_verdict verdict(version_evidence const& evidence) const
    {
        auto const& current = std::get<state::move_in_progress>(state_);
        return std::visit(
            state::overloaded{
                [&](sequential_policy const& p)
                { return p.mover.judge(move_, current, evidence, at(time_)); },
                [&](fixed_threshold_policy const&) { return fixed_verdict(current, evidence); }},
            policy_);
    }

    rollout_verdict fixed_verdict(
        state::move_in_progress const& current, version_evidence const& evidence) const
    {
        constexpr double points = 0.05;
        constexpr double slower = 1.5;
        constexpr std::uint64_t least = 20;
        state::outcome_counts sums[2];
        for (auto const& [key, counts] : evidence)
            sums[key.version == move_.to ? 1 : 0].add(counts);
        auto const rate_of = [](state::outcome_counts const& c)
        {
            return static_cast<double>(c.failed) /
                   static_cast<double>(std::max<std::uint64_t>(c.total(), 1));
        };
        auto const mean_of = [](state::outcome_counts const& c)
        {
            double sum = 0;
            for (std::size_t i = 0; i < state::latency_classes; ++i)
                sum += static_cast<double>(c.latency[i]) * 0.001 * std::pow(1.5, i);
            return sum / static_cast<double>(std::max<std::uint64_t>(c.succeeded, 1));
        };
        if (sums[1].total() >= least)
        {
            if (rate_of(sums[1]) > rate_of(sums[0]) + points)
                return roll_back{"rate"};
            if (mean_of(sums[1]) > slower * mean_of(sums[0]))
                return roll_back{"mean"};
        }
        constexpr double steps = 8;
        auto const in_step = std::chrono::duration<double>(at(time_) - current.since).count();
        if (in_step < plan_.seconds / steps)
            return keep_going{};
        return current.step + 1 < rollout_settings{}.shares.size() ? rollout_verdict{advance{}}
                                                                   : rollout_verdict{complete{}};
    }

    void decide()
    {
        auto const evidence = merged();
        std::visit(
            state::overloaded{
                [](keep_going const&) {}, [&](advance const&) { begin_step(); },
                [&](complete const&) { end("done"); },
                [&](report_undecided const&) { end("undecided"); },
                [&](roll_back const&)
                {
                    if (first_bad_)
                        outcome_.time_to_stop = time_ - *first_bad_;
                    state_ = state::move_taken_back{at(time_), {}};
                    end("taken_back");
                }},
            verdict(evidence));
    }

    void begin_step()
    {
        auto const step = std::get<state::move_in_progress>(state_).step + 1;
        state_ = state::move_in_progress{step, at(time_), false};
        for (auto& counts : local_)
            counts.clear();
    }

    void end(std::string how)
    {
        outcome_.ended = std::move(how);
        outcome_.ended_at = time_;
        ended_ = true;
    }

    move_plan const& plan_;
    move_policy const& policy_;
    std::mt19937_64 random_;
    std::vector<version_evidence> local_;
    std::vector<bool> stopped_;
    state::version_move move_;
    state::move_state state_;
    double time_ = 0;
    double onset_ = 0;
    double severity_ = 0;
    double requests_ = 0;
    double bad_ = 0;
    std::optional<double> first_bad_;
    bool ended_ = false;
    move_outcome outcome_;
};

} // namespace

std::string_view name_of(move_fault fault)
{
    constexpr std::string_view names[] = {
        "none",
        "fails_at_once",
        "fails_later",
        "slow_under_load",
        "slow_on_one_route",
        "wrong_on_one_route",
        "hosts_reclaimed",
        "bad_old_version",
        "counts_lost",
        "thin_traffic"};
    return names[static_cast<int>(fault)];
}

move_outcome play_move(move_plan const& plan, move_policy const& policy)
{
    return trace(plan, policy).play();
}

} // namespace auburnweir::bench
