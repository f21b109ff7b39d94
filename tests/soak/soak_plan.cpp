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

/// Adds ends and pauses of backends' processes, with a generator of their own for the same reason.
void add_process_faults(std::vector<planned_fault>& plan, std::uint64_t seed, soak_size const& size)
{
    constexpr double mean_process_gap_ms = 600;
    constexpr int max_same_id_ms = 60;
    constexpr int max_down_ms = 1200;
    std::mt19937_64 random(~seed * 2 + 7);
    std::exponential_distribution<> gap_ms(1 / mean_process_gap_ms);
    std::bernoulli_distribution in_series(series_share);
    auto const between = [&](int low, int high) {
        return std::uniform_int_distribution<>{low, high}(random);
    };
    auto const next = [&]() -> soak_fault
    {
        auto const kind = between(0, 9);
        auto const backend = between(0, size.backends - 1);
        auto const successor = static_cast<backend_successor>(between(0, 2));
        auto const same_id_after_ms = between(0, max_same_id_ms);
        backend_return const after{
            successor, same_id_after_ms, same_id_after_ms + between(min_duration_ms, max_down_ms)};
        if (kind < 5)
            return kill_backend{backend, after};
        if (kind < 7)
            return stop_backend{backend, after};
        if (kind < 9)
            return pause_backend{backend, after.listed_after_ms * 2};
        return kill_all_backends{after};
    };
    double at = start_delay_ms + gap_ms(random);
    for (; at < size.fault_phase_ms;
         at += in_series(random) ? series_gap_ms : min_gap_ms + gap_ms(random))
        plan.push_back({static_cast<int>(at), next()});
    std::stable_sort(
        plan.begin(), plan.end(), [](auto const& a, auto const& b) { return a.at_ms < b.at_ms; });
}

bool is_backend_link_fault(planned_fault const& planned)
{
    auto const* const link = std::get_if<disrupt_link>(&planned.fault);
    return link && link->kind == link_kind::gateway_to_backend;
}

std::string return_text(backend_return const& r)
{
    constexpr char const* names[] = {"none", "another id", "the same id"};
    auto text = std::string{", successor: "} + names[static_cast<std::size_t>(r.successor)];
    if (r.successor == backend_successor::same_id)
        text += " after " + std::to_string(r.same_id_after_ms) + " ms";
    return text + ", listed after " + std::to_string(r.listed_after_ms) + " ms";
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
    if (!plan_backends(seed, size).direct)
        return plan;
    std::erase_if(plan, is_backend_link_fault);
    add_process_faults(plan, seed, size);
    return plan;
}

backend_plan plan_backends(std::uint64_t seed, soak_size const& size)
{
    using state::body_framing;
    constexpr int min_event_ms = 10;
    constexpr int max_event_ms = 60;
    // The proxy passes a reset on as a FIN, and ends the connections of a server that runs on with
    // one. No gateway can tell such an end from the server's own, so that behind the proxy each
    // body shows its end itself. Seeds 5 and 42 of seeds.txt keep the proxy.
    backend_plan plan{seed % 5 != 0 && seed % 5 != 2, {}};
    std::mt19937_64 random(~seed * 2 + 9);
    std::uniform_int_distribution<> framing(
        0, static_cast<int>(plan.direct ? body_framing::connection : body_framing::chunks));
    std::uniform_int_distribution<> event_ms(min_event_ms, max_event_ms);
    for (int i = 0; i < size.backends; ++i)
    {
        auto const chosen = static_cast<body_framing>(framing(random));
        plan.behaviours.push_back({chosen, event_ms(random)});
    }
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
            },
            [](kill_backend const& f)
            { return "kill backend " + std::to_string(f.backend) + return_text(f.after); },
            [](stop_backend const& f)
            { return "stop backend " + std::to_string(f.backend) + return_text(f.after); },
            [](pause_backend const& f)
            { return "pause backend " + std::to_string(f.backend) + duration_text(f.duration_ms); },
            [](kill_all_backends const& f) { return "kill all backends" + return_text(f.after); }},
        planned.fault);
    return std::to_string(planned.at_ms) + " ms: " + text;
}

} // namespace auburnweir::soak
