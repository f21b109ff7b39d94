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

/// What is wrong with the new version of a trace.
enum class move_fault
{
    none,
    fails_at_once,
    fails_later,
    slow_under_load,
    slow_on_one_route,
    wrong_on_one_route,
    hosts_reclaimed, ///< the version is good; its hosts are taken away
    bad_old_version, ///< the old version fails more than the new one
    counts_lost,     ///< as fails_at_once, and a part of the instances is cut off
    thin_traffic     ///< good, with too few requests to tell
};

std::string_view name_of(move_fault fault);

/// A seeded trace of one version move.
struct move_plan
{
    move_fault fault = move_fault::none;
    std::uint64_t seed = 1;
    int instances = 8;
    double requests_per_second = 100;
    double seconds = 600; ///< from the beginning to the deadline
};

struct move_outcome
{
    std::string ended;                  ///< done, taken_back, undecided or moving
    double ended_at = 0;                ///< seconds
    double bad_share = 0;               ///< faulty requests of all requests of the move
    std::optional<double> time_to_stop; ///< from the first faulty answer to the take-back
};

/// Decides by our sequential tests.
struct sequential_policy
{
    coordination::rollout_controller mover{coordination::rollout_settings{}};
};

/// Baseline: steps of equal length; takes back when the new version fails 5 points more often, or
/// takes 1.5 times as long on the mean, over all routes.
struct fixed_threshold_policy
{
    coordination::rollout_controller mover{coordination::rollout_settings{}};
};

using move_policy = std::variant<sequential_policy, fixed_threshold_policy>;

move_outcome play_move(move_plan const& plan, move_policy const& policy);

} // namespace auburnweir::bench

#endif
