#include "coordination/sequential_test.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace auburnweir::coordination
{

namespace
{

constexpr std::array<double, 4> odds_ratios{2, 4, 10, 50};
constexpr double least_rate = 0.002;
constexpr double highest_rate = 0.98;
constexpr double deviations = 3.5;

/// The rate whose odds are `ratio` times those of `rate`.
double raised(double rate, double ratio)
{
    auto const odds = rate / (1 - rate) * ratio;
    return std::min(odds / (1 + odds), highest_rate);
}

} // namespace

double log_evidence_above(trial_counts const& observed, double base_rate)
{
    auto const base = std::clamp(base_rate, least_rate, highest_rate);
    auto const events = static_cast<double>(observed.events);
    auto const others = static_cast<double>(observed.trials - observed.events);
    auto largest = -std::numeric_limits<double>::infinity();
    std::array<double, odds_ratios.size()> logs{};
    for (std::size_t i = 0; i < odds_ratios.size(); ++i)
    {
        auto const higher = std::max(raised(base, odds_ratios[i]), base);
        logs[i] = events * std::log(higher / base) + others * std::log((1 - higher) / (1 - base));
        largest = std::max(largest, logs[i]);
    }
    double sum = 0;
    for (auto const l : logs)
        sum += std::exp(l - largest);
    return largest + std::log(sum / static_cast<double>(odds_ratios.size()));
}

double rate_upper_bound(trial_counts const& reference)
{
    constexpr double prior_events = 0.5;
    constexpr double prior_trials = 1;
    auto const n = static_cast<double>(reference.trials) + prior_trials;
    auto const rate = (static_cast<double>(reference.events) + prior_events) / n;
    return std::min(rate + deviations * std::sqrt(rate * (1 - rate) / n), 1.0);
}

} // namespace auburnweir::coordination
