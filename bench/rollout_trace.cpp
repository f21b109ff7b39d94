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
constexpr int ticks_per_merge = 10; ///< the instances' counts are merged every second
constexpr int routes = 3;
constexpr double route_weight[routes] = {0.7, 0.25, 0.05};
constexpr double normal_failure_rate = 0.01;
constexpr double normal_median_seconds = 0.2;
constexpr double thin_traffic_requests_per_second = 0.05;

state::wall_time wall_time_at(double seconds)
{
    return state::wall_time{std::chrono::milliseconds{static_cast<std::int64_t>(seconds * 1000)}};
}

/// One simulated response of either version.
struct simulated_response
{
    bool failed;
    double seconds;
    bool faulty;    ///< because of the scenario's fault
    bool host_lost; ///< its host was reclaimed; not counted for either version
};

class trace
{
public:
    trace(rollout_scenario const& scenario, rollout_policy const& policy)
        : scenario_(scenario)
        , policy_(policy)
        , random_(scenario.seed)
        , instance_evidence_(static_cast<std::size_t>(scenario.instances))
        , stopped_instances_(static_cast<std::size_t>(scenario.instances))
    {
        version_plan_.service = state::service_id{"s"};
        version_plan_.from = state::version_id{"old"};
        version_plan_.to = state::version_id{"new"};
        version_plan_.begin = wall_time_at(0);
        version_plan_.deadline = wall_time_at(scenario.seconds);
        state_ = state::rollout_in_progress{0, wall_time_at(0), false};
        std::uniform_real_distribution<double> onset_share(0.1, 0.6);
        fault_onset_seconds_ = scenario.fault == rollout_fault::fails_later
                                   ? scenario.seconds * onset_share(random_)
                                   : 0;
        std::uniform_real_distribution<double> probability(0.3, 1.0);
        fault_probability_ = probability(random_);
    }

    rollout_result simulate()
    {
        auto const ticks = static_cast<int>(scenario_.seconds * 1.2 / tick_seconds);
        for (int i = 0; i < ticks && !ended_; ++i)
        {
            now_seconds_ = i * tick_seconds;
            serve_tick();
            if (i % ticks_per_merge == ticks_per_merge - 1)
                decide();
        }
        if (result_.ended.empty())
            result_.ended = "moving";
        result_.faulty_share = faulty_requests_ / std::max(requests_, 1.0);
        return result_;
    }

private:
    rollout_controller const& controller() const
    {
        return std::visit(
            [](auto const& p) -> rollout_controller const& { return p.controller; }, policy_);
    }

    double arrival_rate() const
    {
        return scenario_.fault == rollout_fault::thin_traffic ? thin_traffic_requests_per_second
                                                              : scenario_.requests_per_second;
    }

    simulated_response sample(bool is_new, int route, double share)
    {
        std::uniform_real_distribution<double> unit(0, 1);
        std::lognormal_distribution<double> latency(std::log(normal_median_seconds), 0.5);
        simulated_response a{unit(random_) < normal_failure_rate, latency(random_), false, false};
        if (!is_new)
        {
            constexpr double bad_old_failure_rate = 0.15;
            if (scenario_.fault == rollout_fault::bad_old_version)
                a.failed = unit(random_) < bad_old_failure_rate;
            return a;
        }
        constexpr double fault_load_share = 0.10;
        constexpr double slowdown_factor = 4;
        constexpr double reclaim_rate = 0.3;
        auto const fail = [&](bool here) { a.faulty = here && unit(random_) < fault_probability_; };
        switch (scenario_.fault)
        {
        case rollout_fault::fails_at_once:
        case rollout_fault::counts_lost:
            fail(true);
            break;
        case rollout_fault::fails_later:
            fail(now_seconds_ >= fault_onset_seconds_);
            break;
        case rollout_fault::wrong_on_one_route:
            fail(route == 1);
            break;
        case rollout_fault::slow_under_load:
            a.faulty = share >= fault_load_share;
            a.seconds *= a.faulty ? slowdown_factor : 1;
            return a;
        case rollout_fault::slow_on_one_route:
            a.faulty = route == 1;
            a.seconds *= a.faulty ? slowdown_factor : 1;
            return a;
        case rollout_fault::hosts_reclaimed:
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
        std::poisson_distribution<int> arrivals(arrival_rate() * tick_seconds);
        std::discrete_distribution<int> route_choice(route_weight, route_weight + routes);
        std::uniform_int_distribution<int> instance_choice(0, scenario_.instances - 1);
        auto const count = arrivals(random_);
        for (int i = 0; i < count; ++i)
        {
            auto const instance = instance_choice(random_);
            auto const route = route_choice(random_);
            state::request_id const id{std::to_string(random_())};
            auto const share = controller().share(state_);
            bool const is_new = !stopped_instances_[instance] &&
                                controller().uses_new_version(id, version_plan_, state_);
            auto const answer = sample(is_new, route, share);
            ++requests_;
            if (answer.faulty)
            {
                ++faulty_requests_;
                if (!first_faulty_at_)
                    first_faulty_at_ = now_seconds_;
            }
            if (!answer.host_lost)
                record(instance, is_new, route, answer);
        }
    }

    void record(int instance, bool is_new, int route, simulated_response const& a)
    {
        auto& c = instance_evidence_[instance][evidence_key{
            version_plan_.service, is_new ? version_plan_.to : version_plan_.from,
            state::route_id{std::to_string(route)}}];
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
        if (sequential && is_new && a.failed &&
            controller().evidence_against(version_plan_, instance_evidence_[instance]))
            stopped_instances_[instance] = true;
    }

    version_evidence merged_evidence() const
    {
        version_evidence all;
        constexpr int disconnected_divisor = 3; // one third of the instances
        for (int n = 0; n < scenario_.instances; ++n)
        {
            bool const disconnected = scenario_.fault == rollout_fault::counts_lost &&
                                      n < scenario_.instances / disconnected_divisor;
            if (disconnected)
                continue;
            for (auto const& [key, counts] : instance_evidence_[n])
                all[key].add(counts);
        }
        return all;
    }

    rollout_verdict verdict(version_evidence const& evidence) const
    {
        auto const& current = std::get<state::rollout_in_progress>(state_);
        return std::visit(
            state::overloaded{
                [&](sequential_policy const& p) {
                    return p.controller.evaluate(
                        version_plan_, current, evidence, wall_time_at(now_seconds_));
                },
                [&](fixed_threshold_policy const&) { return fixed_verdict(current, evidence); }},
            policy_);
    }

    rollout_verdict fixed_verdict(
        state::rollout_in_progress const& current, version_evidence const& evidence) const
    {
        constexpr double failure_rate_margin = 0.05;
        constexpr double mean_latency_factor = 1.5;
        constexpr std::uint64_t min_requests_compared = 20;
        state::outcome_counts sums[2];
        for (auto const& [key, counts] : evidence)
            sums[key.version == version_plan_.to ? 1 : 0].add(counts);
        auto const rate_of = [](state::outcome_counts const& c)
        {
            return static_cast<double>(c.failed) /
                   static_cast<double>(std::max<std::uint64_t>(c.total(), 1));
        };
        auto const mean_of = [](state::outcome_counts const& c)
        {
            double sum = 0;
            for (std::size_t i = 0; i < state::latency_class_count; ++i)
                sum += static_cast<double>(c.latency[i]) * 0.001 * std::pow(1.5, i);
            return sum / static_cast<double>(std::max<std::uint64_t>(c.succeeded, 1));
        };
        if (sums[1].total() >= min_requests_compared)
        {
            if (rate_of(sums[1]) > rate_of(sums[0]) + failure_rate_margin)
                return roll_back{"rate"};
            if (mean_of(sums[1]) > mean_latency_factor * mean_of(sums[0]))
                return roll_back{"mean"};
        }
        constexpr double steps = 8;
        auto const time_in_step =
            std::chrono::duration<double>(wall_time_at(now_seconds_) - current.since).count();
        if (time_in_step < scenario_.seconds / steps)
            return keep_step{};
        return current.step + 1 < rollout_settings{}.shares.size() ? rollout_verdict{advance{}}
                                                                   : rollout_verdict{complete{}};
    }

    void decide()
    {
        auto const evidence = merged_evidence();
        std::visit(
            state::overloaded{
                [](keep_step const&) {}, [&](advance const&) { begin_step(); },
                [&](complete const&) { end("done"); },
                [&](report_undecided const&) { end("undecided"); },
                [&](roll_back const&)
                {
                    if (first_faulty_at_)
                        result_.time_to_stop = now_seconds_ - *first_faulty_at_;
                    state_ = state::rollout_rolled_back{wall_time_at(now_seconds_), {}};
                    end("taken_back");
                }},
            verdict(evidence));
    }

    void begin_step()
    {
        auto const step = std::get<state::rollout_in_progress>(state_).step + 1;
        state_ = state::rollout_in_progress{step, wall_time_at(now_seconds_), false};
        for (auto& counts : instance_evidence_)
            counts.clear();
    }

    void end(std::string end_state)
    {
        result_.ended = std::move(end_state);
        result_.ended_at = now_seconds_;
        ended_ = true;
    }

    rollout_scenario const& scenario_;
    rollout_policy const& policy_;
    std::mt19937_64 random_;
    std::vector<version_evidence> instance_evidence_;
    std::vector<bool> stopped_instances_;
    state::rollout version_plan_;
    state::rollout_state state_;
    double now_seconds_ = 0;
    double fault_onset_seconds_ = 0;
    double fault_probability_ = 0;
    double requests_ = 0;
    double faulty_requests_ = 0;
    std::optional<double> first_faulty_at_;
    bool ended_ = false;
    rollout_result result_;
};

} // namespace

std::string_view name_of(rollout_fault fault)
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

rollout_result simulate_rollout(rollout_scenario const& scenario, rollout_policy const& policy)
{
    return trace(scenario, policy).simulate();
}

} // namespace auburnweir::bench
