#include "state/version_evidence.hpp"

#include <algorithm>
#include <cmath>

namespace auburnweir::state
{

namespace
{
constexpr double first_bound_seconds = 0.001;
constexpr double bound_ratio = 1.5;
} // namespace

std::size_t latency_class(double seconds)
{
    if (seconds <= first_bound_seconds)
        return 0;
    auto const steps = std::log(seconds / first_bound_seconds) / std::log(bound_ratio);
    return std::min(static_cast<std::size_t>(std::ceil(steps)), latency_class_count - 1);
}

double latency_class_bound_seconds(std::size_t latency_class)
{
    return first_bound_seconds * std::pow(bound_ratio, static_cast<double>(latency_class));
}

void outcome_counts::add(outcome_counts const& other)
{
    succeeded += other.succeeded;
    failed += other.failed;
    for (std::size_t i = 0; i < latency_class_count; ++i)
        latency[i] += other.latency[i];
}

} // namespace auburnweir::state
