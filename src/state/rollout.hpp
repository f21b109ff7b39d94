#ifndef AUBURNWEIR_STATE_ROLLOUT_HPP
#define AUBURNWEIR_STATE_ROLLOUT_HPP

#include "state/ids.hpp"
#include "state/time.hpp"

#include <string>
#include <variant>

namespace auburnweir::state
{

/// What the operators' text asks for: all of a service's traffic on another version by a time.
struct rollout
{
    service_id service;
    version_id from;
    version_id to;
    wall_time begin;
    wall_time deadline;

    friend bool operator==(rollout const&, rollout const&) = default;
};

/// Traffic goes over step by step.
struct rollout_in_progress
{
    std::size_t step = 0;   ///< index of the share in `version_mover`'s schedule
    wall_time since;        ///< when the step began
    bool undecided = false; ///< the deadline passed with too little evidence

    friend bool operator==(rollout_in_progress const&, rollout_in_progress const&) = default;
};

/// All traffic is on the new version. Final, unless it is taken back.
struct rollout_done
{
    wall_time at;

    friend bool operator==(rollout_done const&, rollout_done const&) = default;
};

/// The new version gets no traffic. Final: no other state follows.
struct rollout_rolled_back
{
    wall_time at;
    std::string evidence; ///< route, measure and counts

    friend bool operator==(rollout_rolled_back const&, rollout_rolled_back const&) = default;
};

using rollout_state = std::variant<rollout_in_progress, rollout_done, rollout_rolled_back>;

} // namespace auburnweir::state

#endif
