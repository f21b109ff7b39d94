#include "coordination/server_weights.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

constexpr state::duration rating_validity = std::chrono::seconds{10};

/// Intervals up to this multiple of the reference have full weight: the intervals of equally fast
/// servers differ by their load.
constexpr double tolerance = 1.3;

/// Keeps a few requests on the slowest servers, so that their intervals remain known.
constexpr double min_weight = 0.02;

} // namespace

state::duration reference_interval(std::vector<state::duration> intervals)
{
    std::erase(intervals, state::duration::zero());
    if (intervals.empty())
        return state::duration::zero();
    auto const quartile =
        intervals.begin() + static_cast<std::ptrdiff_t>((intervals.size() - 1) / 4);
    std::nth_element(intervals.begin(), quartile, intervals.end());
    return *quartile;
}

double weight_of(state::duration interval, state::duration reference)
{
    if (interval <= state::duration::zero())
        return 1;
    auto const relative =
        tolerance * static_cast<double>(reference.count()) / static_cast<double>(interval.count());
    return std::clamp(relative * relative * relative, min_weight, 1.0);
}

std::vector<double> server_weights(
    std::vector<state::server_view> const& servers, state::time_point now)
{
    std::vector<state::duration> intervals;
    intervals.reserve(servers.size());
    for (auto const& s : servers)
    {
        bool const known = s.rating && now - s.rated_at <= rating_validity;
        intervals.push_back(known ? s.rating->event_interval : state::duration::zero());
    }
    auto const reference = reference_interval(intervals);
    std::vector<double> weights;
    weights.reserve(servers.size());
    for (auto const interval : intervals)
        weights.push_back(weight_of(interval, reference));
    return weights;
}

} // namespace auburnweir::coordination
