#ifndef AUBURNWEIR_BENCH_ROLLOUT_TRACE_HPP
#define AUBURNWEIR_BENCH_ROLLOUT_TRACE_HPP

#include "coordination/rollout_controller.hpp"

#include <optional>
#include <random>
#include <string_view>
#include <variant>
#include <vector>

namespace auburnweir::bench
{

/// Fault of a simulated rollout.
enum class rollout_fault
{
    none,
    fails_at_once,
    fails_later,
    slow_under_load,
    slow_on_one_route,
    wrong_on_one_route,
    hosts_reclaimed, ///< the new version is good, but its hosts are reclaimed
    bad_old_version, ///< the old version fails more than the new one
    counts_lost,     ///< as fails_at_once, and a share of the instances is disconnected
    thin_traffic     ///< the new version is good, but requests are too few for a decision
};

std::string_view name_of(rollout_fault fault);

/// Parameters of one simulated rollout.
struct rollout_scenario
{
    rollout_fault fault = rollout_fault::none;
    std::uint64_t seed = 1;
    int instances = 8;
    double requests_per_second = 100;
    double seconds = 600; ///< from the begin to the deadline
};

/// Result of one simulated rollout.
struct rollout_result
{
    std::string ended;                  ///< done, taken_back, undecided or moving
    double ended_at = 0;                ///< seconds
    double faulty_share = 0;            ///< share of all requests that are faulty
    std::optional<double> time_to_stop; ///< seconds from the first faulty response to the rollback
};

/// Decides by the sequential tests of `rollout_controller`.
struct sequential_policy
{
    coordination::rollout_controller controller{coordination::rollout_settings{}};
};

/// Baseline: steps of equal duration. Rolls back when, over all routes, the failure rate of the new
/// version is 5 percentage points higher or its mean latency is 1.5 times that of the old one.
struct fixed_threshold_policy
{
    coordination::rollout_controller controller{coordination::rollout_settings{}};
};

using rollout_policy = std::variant<sequential_policy, fixed_threshold_policy>;

rollout_result simulate_rollout(rollout_scenario const& scenario, rollout_policy const& policy);

} // namespace auburnweir::bench

#endif
