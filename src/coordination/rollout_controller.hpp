#ifndef AUBURNWEIR_COORDINATION_ROLLOUT_CONTROLLER_HPP
#define AUBURNWEIR_COORDINATION_ROLLOUT_CONTROLLER_HPP

#include "state/version_evidence.hpp"
#include "state/version_move.hpp"

#include <optional>
#include <string>
#include <vector>

namespace auburnweir::coordination
{

/// Shares, amounts of evidence and error bounds of version moves.
struct rollout_settings
{
    /// Of the new version, step by step. The old one keeps a part to the end, to compare with.
    std::vector<double> shares{0.002, 0.01, 0.05, 0.15, 0.40, 0.80};
    std::uint64_t least_requests = 20;  ///< of the new version at each step
    double route_evidence_share = 0.10; ///< from this share on, of each route
    state::duration least_step = std::chrono::seconds{10};
    double route_share = 0.02;           ///< routes with less of the old version's traffic may lag
    double error_bound = 1.0 / 20000;    ///< false take-backs for each comparison
    double slow_class_share = 0.10;      ///< share of the old version's slowest requests
    std::uint64_t least_reference = 200; ///< of the old version before latencies are compared
};

/// What one look at the evidence says.
struct keep_going
{
};

/// The next step may begin.
struct advance
{
};

/// All steps are through.
struct complete
{
};

/// The new version is worse.
struct roll_back
{
    std::string evidence;
};

/// The deadline is over and the evidence does not suffice to go on.
struct report_undecided
{
};

using rollout_verdict = std::variant<keep_going, advance, complete, roll_back, report_undecided>;

/// Decides on a version move from merged outcome counts. No I/O, no clock.
///
/// Old and new version are compared on the same route over the same time, by failures and by the
/// share of slow answers, with sequential tests.
class rollout_controller
{
public:
    explicit rollout_controller(rollout_settings settings)
        : settings_(std::move(settings))
    {
    }

    /// Share of traffic that the new version gets, from 0 to 1.
    double share(state::move_state const& current) const;

    /// Whether a request goes to the new version; the same answer on every instance.
    bool goes_to_new(
        state::request_id const& id, state::version_move const& move,
        state::move_state const& current) const;

    /// Clear evidence against the new version, or null. Any instance may act on its own counts.
    std::optional<std::string> evidence_against(
        state::version_move const& move, state::version_evidence const& evidence) const;

    /// @param evidence  counts since the step began, of all instances; within a step the shares
    ///                  are constant, so both versions see the same load
    rollout_verdict judge(
        state::version_move const& move, state::move_in_progress const& current,
        state::version_evidence const& evidence, state::wall_time now) const;

private:
    bool enough_evidence(
        state::version_move const& move, state::version_evidence const& evidence,
        double share) const;
    state::duration step_length(state::version_move const& move) const;

    rollout_settings settings_;
};

/// The state to write over `current`, or null when `current` may not be followed by `wanted`:
/// taken back is final and may follow anything, done may follow only a move in progress.
std::optional<state::move_state> next_state(
    state::move_state const& current, state::move_state const& wanted);

} // namespace auburnweir::coordination

#endif
