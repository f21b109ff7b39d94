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

/// Part of faults that follow the one before at once.
constexpr double series_share = 0.3;
constexpr int series_gap_ms = 60;

constexpr int shortest_ms = 200;
constexpr int longest_ms = 4500;

class fault_source
{
public:
    fault_source(std::uint64_t seed, soak_size const& size)
        : random_(seed)
        , size_(size)
    {
    }

    soak_fault next()
    {
        switch (below(14))
        {
        case 0:
        case 1:
            return kill_gateway{gateway(), length() / 2};
        case 2:
        case 3:
            return pause_gateway{gateway(), length()};
        case 4:
            return stop_gateway{gateway()};
        case 5:
        case 6:
            return link();
        case 7:
        case 8:
            return harm_store{static_cast<store_fault>(below(4)), length()};
        case 9:
        case 10:
            return harm_backend{
                below(size_.backends), static_cast<backend_fault>(below(5)), length()};
        case 11:
            return drain_backend{below(size_.backends), 3500 + length()};
        case 12:
            return change_key{};
        default:
            return add_route{};
        }
    }

    int gap()
    {
        if (std::bernoulli_distribution{series_share}(random_))
            return series_gap_ms;
        return static_cast<int>(std::exponential_distribution<>{1 / mean_gap_ms}(random_));
    }

private:
    int below(int n) { return std::uniform_int_distribution<>{0, n - 1}(random_); }
    int gateway() { return below(size_.gateways); }
    int length() { return std::uniform_int_distribution<>{shortest_ms, longest_ms}(random_); }

    harm_link link()
    {
        auto const kind = static_cast<link_kind>(below(3));
        auto const index =
            kind == link_kind::gateway_to_backend ? below(size_.backends) : gateway();
        return {kind, index, static_cast<link_fault>(below(5)), length()};
    }

    std::mt19937_64 random_;
    soak_size size_;
};

constexpr char const* link_names[] = {"gateway-store", "gateway-backend", "caller-gateway"};
constexpr char const* link_fault_names[] = {"delayed", "reset", "refused", "silent", "one-way"};
constexpr char const* store_fault_names[] = {"down", "slow", "answers-lost", "history-dropped"};
constexpr char const* backend_fault_names[] = {"failing", "full", "cut", "torn", "slow"};

std::string lasting(int ms)
{
    return " for " + std::to_string(ms) + " ms";
}

} // namespace

std::vector<planned_fault> plan_faults(std::uint64_t seed, soak_size const& size)
{
    fault_source source(seed, size);
    std::vector<planned_fault> plan;
    for (int at = 300 + source.gap(); at < size.length_ms; at += std::max(20, source.gap()))
        plan.push_back({at, source.next()});
    return plan;
}

std::string to_text(planned_fault const& fault)
{
    auto const index = [](auto value) { return static_cast<std::size_t>(value); };
    auto const text = std::visit(
        state::overloaded{
            [](kill_gateway const& f)
            { return "kill gateway " + std::to_string(f.gateway) + lasting(f.down_ms); },
            [](pause_gateway const& f)
            { return "pause gateway " + std::to_string(f.gateway) + lasting(f.for_ms); },
            [](stop_gateway const& f) { return "stop gateway " + std::to_string(f.gateway); },
            [&](harm_link const& f)
            {
                return std::string{link_names[index(f.kind)]} + " " + std::to_string(f.index) +
                       " " + link_fault_names[index(f.fault)] + lasting(f.for_ms);
            },
            [&](harm_store const& f) {
                return std::string{"store "} + store_fault_names[index(f.fault)] +
                       lasting(f.for_ms);
            },
            [&](harm_backend const& f)
            {
                return "backend " + std::to_string(f.backend) + " " +
                       backend_fault_names[index(f.fault)] + lasting(f.for_ms);
            },
            [](drain_backend const& f)
            { return "drain backend " + std::to_string(f.backend) + lasting(f.for_ms); },
            [](change_key const&) { return std::string{"change key"}; },
            [](add_route const&) { return std::string{"add route"}; }},
        fault.what);
    return std::to_string(fault.at_ms) + " ms: " + text;
}

} // namespace auburnweir::soak
