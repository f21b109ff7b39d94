#ifndef AUBURNWEIR_STATE_ROLLOUT_HPP
#define AUBURNWEIR_STATE_ROLLOUT_HPP

#include "state/ids.hpp"
#include "state/time.hpp"

#include <string>
#include <variant>

namespace auburnweir::state
{

/// Operators' order to change a service gradually to another version by a deadline.
struct rollout
{
    service_id service;
    version_id from;
    version_id to;
    wall_time begin;
    wall_time deadline;

    friend bool operator==(rollout const&, rollout const&) = default;
};

/// The new version's share of traffic grows step by step.
struct rollout_in_progress
{
    std::size_t step = 0;   ///< index of the share in the schedule of `rollout_controller`
    wall_time since;        ///< when the step began
    bool undecided = false; ///< the deadline passed without enough evidence

    friend bool operator==(rollout_in_progress const&, rollout_in_progress const&) = default;
};

/// All traffic goes to the new version. Final, unless the rollout is rolled back.
struct rollout_done
{
    wall_time at;

    friend bool operator==(rollout_done const&, rollout_done const&) = default;
};

/// The new version gets no traffic. Final.
struct rollout_rolled_back
{
    wall_time at;
    std::string evidence; ///< route, measure and counts

    friend bool operator==(rollout_rolled_back const&, rollout_rolled_back const&) = default;
};

using rollout_state = std::variant<rollout_in_progress, rollout_done, rollout_rolled_back>;

} // namespace auburnweir::state

#endif
