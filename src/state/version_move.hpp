#ifndef AUBURNWEIR_STATE_VERSION_MOVE_HPP
#define AUBURNWEIR_STATE_VERSION_MOVE_HPP

#include "state/ids.hpp"
#include "state/time.hpp"

#include <string>
#include <variant>

namespace auburnweir::state
{

/// What the operators' text asks for: all of a service's traffic on another version by a time.
struct version_move
{
    service_id service;
    version_id from;
    version_id to;
    wall_time begin;
    wall_time deadline;

    friend bool operator==(version_move const&, version_move const&) = default;
};

/// Traffic goes over step by step.
struct move_in_progress
{
    std::size_t step = 0;   ///< index of the share in `rollout_controller`'s schedule
    wall_time since;        ///< when the step began
    bool undecided = false; ///< the deadline passed with too little evidence

    friend bool operator==(move_in_progress const&, move_in_progress const&) = default;
};

/// All traffic is on the new version. Final, unless it is taken back.
struct move_done
{
    wall_time at;

    friend bool operator==(move_done const&, move_done const&) = default;
};

/// The new version gets no traffic. Final: no other state follows.
struct move_taken_back
{
    wall_time at;
    std::string evidence; ///< route, measure and counts

    friend bool operator==(move_taken_back const&, move_taken_back const&) = default;
};

using move_state = std::variant<move_in_progress, move_done, move_taken_back>;

} // namespace auburnweir::state

#endif
