#include "coordination/store_pacing.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

/// Calls of one kind that all instances together make, per second.
constexpr std::int64_t max_calls_per_second = 60;

} // namespace

state::duration paced_interval(
    state::duration shortest, state::duration longest, std::uint64_t instance_count)
{
    state::duration const one_second = std::chrono::seconds{1};
    auto const paced =
        static_cast<std::int64_t>(instance_count) * one_second / max_calls_per_second;
    return std::clamp(paced, shortest, std::max(shortest, longest));
}

} // namespace auburnweir::coordination
