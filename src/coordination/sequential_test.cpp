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
constexpr double min_rate = 0.002;
constexpr double max_rate = 0.98;
constexpr double upper_bound_deviations = 3.5;

/// The rate whose odds are `ratio` times those of `rate`.
double rate_at_odds_ratio(double rate, double ratio)
{
    auto const odds = rate / (1 - rate) * ratio;
    return std::min(odds / (1 + odds), max_rate);
}

} // namespace

double log_evidence_above(trial_counts const& observed, double base_rate)
{
    auto const base = std::clamp(base_rate, min_rate, max_rate);
    auto const events = static_cast<double>(observed.events);
    auto const others = static_cast<double>(observed.trials - observed.events);
    auto max_log_ratio = -std::numeric_limits<double>::infinity();
    std::array<double, odds_ratios.size()> log_ratios{};
    for (std::size_t i = 0; i < odds_ratios.size(); ++i)
    {
        auto const higher = std::max(rate_at_odds_ratio(base, odds_ratios[i]), base);
        log_ratios[i] =
            events * std::log(higher / base) + others * std::log((1 - higher) / (1 - base));
        max_log_ratio = std::max(max_log_ratio, log_ratios[i]);
    }
    double sum = 0;
    for (auto const l : log_ratios)
        sum += std::exp(l - max_log_ratio);
    return max_log_ratio + std::log(sum / static_cast<double>(odds_ratios.size()));
}

double rate_upper_bound(trial_counts const& reference)
{
    constexpr double prior_events = 0.5;
    constexpr double prior_trials = 1;
    auto const n = static_cast<double>(reference.trials) + prior_trials;
    auto const rate = (static_cast<double>(reference.events) + prior_events) / n;
    return std::min(rate + upper_bound_deviations * std::sqrt(rate * (1 - rate) / n), 1.0);
}

} // namespace auburnweir::coordination
