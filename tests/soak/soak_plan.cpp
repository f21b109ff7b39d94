#include "soak/soak_plan.hpp"

#include "state/overloaded.hpp"

#include <algorithm>
#include <random>

namespace auburnweir::soak
{

namespace
{

/// Mean time between two faults, in milliseconds.
constexpr double mean_gap_ms = 900;

/// Share of faults that follow the previous one after `series_gap_ms`.
constexpr double series_share = 0.3;
constexpr int series_gap_ms = 60;

constexpr int min_gap_ms = 20;

/// Time before the first fault, in addition to a random gap.
constexpr int start_delay_ms = 300;

constexpr int min_duration_ms = 200;
constexpr int max_duration_ms = 4500;

/// Duration of a drain, in addition to a random duration.
constexpr int extra_drain_ms = 3500;

class fault_generator
{
public:
    fault_generator(std::uint64_t seed, soak_size const& size)
        : random_(seed)
        , size_(size)
    {
    }

    soak_fault next()
    {
        switch (random_below(14))
        {
        case 0:
        case 1:
            return kill_gateway{random_gateway(), random_duration_ms() / 2};
        case 2:
        case 3:
            return pause_gateway{random_gateway(), random_duration_ms()};
        case 4:
            return stop_gateway{random_gateway()};
        case 5:
        case 6:
            return random_link_fault();
        case 7:
        case 8:
            return disrupt_store{static_cast<store_fault>(random_below(4)), random_duration_ms()};
        case 9:
        case 10:
            return disrupt_backend{
                random_below(size_.backends), static_cast<backend_fault>(random_below(5)),
                random_duration_ms()};
        case 11:
            return drain_backend{
                random_below(size_.backends), extra_drain_ms + random_duration_ms()};
        case 12:
            return change_key{};
        default:
            return add_route{};
        }
    }

    int gap_ms()
    {
        if (std::bernoulli_distribution{series_share}(random_))
            return series_gap_ms;
        return static_cast<int>(std::exponential_distribution<>{1 / mean_gap_ms}(random_));
    }

private:
    int random_below(int n) { return std::uniform_int_distribution<>{0, n - 1}(random_); }
    int random_gateway() { return random_below(size_.gateways); }
    int random_duration_ms()
    {
        return std::uniform_int_distribution<>{min_duration_ms, max_duration_ms}(random_);
    }

    disrupt_link random_link_fault()
    {
        auto const kind = static_cast<link_kind>(random_below(3));
        auto const index =
            kind == link_kind::gateway_to_backend ? random_below(size_.backends) : random_gateway();
        return {kind, index, static_cast<link_fault>(random_below(5)), random_duration_ms()};
    }

    std::mt19937_64 random_;
    soak_size size_;
};

constexpr char const* link_names[] = {"gateway-store", "gateway-backend", "caller-gateway"};
constexpr char const* link_fault_names[] = {"delayed", "reset", "refused", "silent", "one-way"};
constexpr char const* store_fault_names[] = {"down", "slow", "answers-lost", "history-dropped"};
constexpr char const* backend_fault_names[] = {
    "failing",      "full",           "cut",          "torn",      "slow", "endless", "trickling",
    "full-endless", "unnamed-copies", "named-copies", "cut-copies"};

/// Kinds of disruption from `first` to `last`, at `mean_gap_ms` after one another.
struct disruption_series
{
    backend_fault first;
    backend_fault last;
    double mean_gap_ms;
};

/// Adds disruptions of backends to a plan. Each series has a generator of its own, so that the
/// seeds that failed in the past still give the other faults of their plans.
void add_disruptions(
    std::vector<planned_fault>& plan, std::uint64_t generator_seed, disruption_series const& series,
    soak_size const& size)
{
    std::mt19937_64 random(generator_seed);
    std::exponential_distribution<> gap_ms(1 / series.mean_gap_ms);
    std::uniform_int_distribution<> backend(0, size.backends - 1);
    std::uniform_int_distribution<> duration_ms(min_duration_ms, max_duration_ms);
    std::uniform_int_distribution<> fault(
        static_cast<int>(series.first), static_cast<int>(series.last));
    double at = start_delay_ms + gap_ms(random);
    for (; at < size.fault_phase_ms; at += min_gap_ms + gap_ms(random))
    {
        auto const kind = static_cast<backend_fault>(fault(random));
        disrupt_backend const planned{backend(random), kind, duration_ms(random)};
        plan.push_back({static_cast<int>(at), planned});
    }
    std::stable_sort(
        plan.begin(), plan.end(), [](auto const& a, auto const& b) { return a.at_ms < b.at_ms; });
}

constexpr disruption_series endless_responses{
    backend_fault::endless, backend_fault::full_endless, 3000};
constexpr disruption_series copied_refusals{
    backend_fault::unnamed_copies, backend_fault::cut_copies, 2000};

/// Adds returns of the store to a copy, with a generator of their own for the same reason.
void add_restores(std::vector<planned_fault>& plan, std::uint64_t seed, soak_size const& size)
{
    constexpr double mean_restore_gap_ms = 6000;
    std::mt19937_64 random(~seed * 2 + 1);
    std::exponential_distribution<> gap_ms(1 / mean_restore_gap_ms);
    std::uniform_int_distribution<> lost_ms(min_duration_ms, max_duration_ms);
    double at = start_delay_ms + gap_ms(random);
    for (; at < size.fault_phase_ms; at += max_duration_ms + gap_ms(random))
        plan.push_back({static_cast<int>(at), restore_store{lost_ms(random)}});
    std::stable_sort(
        plan.begin(), plan.end(), [](auto const& a, auto const& b) { return a.at_ms < b.at_ms; });
}

/// Adds gateways that are cut off from all backends, with a generator of their own for the same
/// reason.
void add_cuts(std::vector<planned_fault>& plan, std::uint64_t seed, soak_size const& size)
{
    constexpr double mean_cut_gap_ms = 1500;
    constexpr int min_cut_ms = 1000;
    constexpr int max_cut_ms = 7000;
    std::mt19937_64 random(~seed * 2 + 5);
    std::exponential_distribution<> gap_ms(1 / mean_cut_gap_ms);
    std::uniform_int_distribution<> gateway(0, size.gateways - 1);
    std::uniform_int_distribution<> duration_ms(min_cut_ms, max_cut_ms);
    std::bernoulli_distribution drops(0.5);
    double at = start_delay_ms + gap_ms(random);
    for (; at < size.fault_phase_ms; at += min_gap_ms + gap_ms(random))
    {
        cut_gateway const cut{gateway(random), drops(random), duration_ms(random)};
        plan.push_back({static_cast<int>(at), cut});
    }
    std::stable_sort(
        plan.begin(), plan.end(), [](auto const& a, auto const& b) { return a.at_ms < b.at_ms; });
}

std::string duration_text(int ms)
{
    return " for " + std::to_string(ms) + " ms";
}

} // namespace

std::vector<planned_fault> plan_faults(std::uint64_t seed, soak_size const& size)
{
    fault_generator generator(seed, size);
    std::vector<planned_fault> plan;
    for (int at = start_delay_ms + generator.gap_ms(); at < size.fault_phase_ms;
         at += std::max(min_gap_ms, generator.gap_ms()))
        plan.push_back({at, generator.next()});
    add_disruptions(plan, ~seed, endless_responses, size);
    add_restores(plan, seed, size);
    add_disruptions(plan, ~seed * 2 + 3, copied_refusals, size);
    add_cuts(plan, seed, size);
    return plan;
}

std::string describe(planned_fault const& planned)
{
    auto const index = [](auto value) { return static_cast<std::size_t>(value); };
    auto const text = std::visit(
        state::overloaded{
            [](kill_gateway const& f)
            { return "kill gateway " + std::to_string(f.gateway) + duration_text(f.down_ms); },
            [](pause_gateway const& f)
            { return "pause gateway " + std::to_string(f.gateway) + duration_text(f.duration_ms); },
            [](stop_gateway const& f) { return "stop gateway " + std::to_string(f.gateway); },
            [&](disrupt_link const& f)
            {
                return std::string{link_names[index(f.kind)]} + " " + std::to_string(f.index) +
                       " " + link_fault_names[index(f.fault)] + duration_text(f.duration_ms);
            },
            [&](disrupt_store const& f)
            {
                return std::string{"store "} + store_fault_names[index(f.fault)] +
                       duration_text(f.duration_ms);
            },
            [](restore_store const& f) { return "restore store, lost" + duration_text(f.lost_ms); },
            [&](disrupt_backend const& f)
            {
                return "backend " + std::to_string(f.backend) + " " +
                       backend_fault_names[index(f.fault)] + duration_text(f.duration_ms);
            },
            [](drain_backend const& f)
            { return "drain backend " + std::to_string(f.backend) + duration_text(f.duration_ms); },
            [](change_key const&) { return std::string{"change key"}; },
            [](add_route const&) { return std::string{"add route"}; },
            [](cut_gateway const& f)
            {
                return "cut gateway " + std::to_string(f.gateway) + " off from all backends, " +
                       (f.drops ? "dropped" : "refused") + duration_text(f.duration_ms);
            }},
        planned.fault);
    return std::to_string(planned.at_ms) + " ms: " + text;
}

} // namespace auburnweir::soak
