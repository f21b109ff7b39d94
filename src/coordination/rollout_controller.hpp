#ifndef AUBURNWEIR_COORDINATION_ROLLOUT_CONTROLLER_HPP
#define AUBURNWEIR_COORDINATION_ROLLOUT_CONTROLLER_HPP

#include "state/rollout.hpp"
#include "state/version_evidence.hpp"

#include <optional>
#include <string>
#include <vector>

namespace auburnweir::coordination
{

/// Traffic shares, amounts of evidence and error bounds of rollouts.
struct rollout_settings
{
    /// Traffic share of the new version at each step. The old version keeps a share until the
    /// rollout is complete, as a reference.
    std::vector<double> shares{0.002, 0.01, 0.05, 0.15, 0.40, 0.80};
    std::uint64_t min_requests = 20;        ///< to the new version at each step
    double per_route_evidence_share = 0.10; ///< from this share on, `min_requests` per route
    state::duration min_step_duration = std::chrono::seconds{10};
    /// Routes with a smaller share of all requests need no evidence of their own.
    double min_route_share = 0.02;
    double max_false_rollback_probability = 1.0 / 20000; ///< of each comparison
    /// At most this share of the old version's successful requests counts as slow.
    double slow_request_share = 0.10;
    /// Successful requests to the old version before latencies are compared.
    std::uint64_t min_reference_requests = 200;
};

/// The current step continues.
struct keep_step
{
};

/// The next step may begin.
struct advance
{
};

/// The last step has ended: all traffic may go to the new version.
struct complete
{
};

/// The new version is worse.
struct roll_back
{
    std::string evidence;
};

/// The deadline has passed with too little evidence for the next step.
struct report_undecided
{
};

using rollout_verdict = std::variant<keep_step, advance, complete, roll_back, report_undecided>;

/// Decides on a service's rollout from merged outcome counts. Does no I/O and reads no clock.
///
/// Sequential tests compare the old and the new version on the same route over the same time, by
/// failures and by the share of slow responses.
class rollout_controller
{
public:
    explicit rollout_controller(rollout_settings settings)
        : settings_(std::move(settings))
    {
    }

    /// Share of traffic that the new version gets, from 0 to 1.
    double share(state::rollout_state const& current) const;

    /// Whether a request goes to the new version. All instances return the same for the same state.
    bool uses_new_version(
        state::request_id const& id, state::rollout const& plan,
        state::rollout_state const& current) const;

    /// Describes significant evidence against the new version; null without any. An instance may
    /// act on its own counts alone.
    std::optional<std::string> evidence_against(
        state::rollout const& plan, state::version_evidence const& evidence) const;

    /// Decides on the next action of the rollout.
    ///
    /// @param evidence  counts of all instances since the step began; within a step the shares
    ///                  are constant, so both versions have the same load
    rollout_verdict evaluate(
        state::rollout const& plan, state::rollout_in_progress const& current,
        state::version_evidence const& evidence, state::wall_time now) const;

private:
    bool has_enough_evidence(
        state::rollout const& plan, state::version_evidence const& evidence, double share) const;
    state::duration step_duration(state::rollout const& plan) const;

    rollout_settings settings_;
};

/// The state to write over `current`, or null when `wanted` may not follow `current`: rolled back
/// is final and may follow any other state, done may follow only a rollout in progress, and a
/// rollout never returns to an earlier step.
std::optional<state::rollout_state> next_state(
    state::rollout_state const& current, state::rollout_state const& wanted);

} // namespace auburnweir::coordination

#endif
