#ifndef AUBURNWEIR_COORDINATION_RETRY_POLICY_HPP
#define AUBURNWEIR_COORDINATION_RETRY_POLICY_HPP

#include "state/ids.hpp"
#include "state/lock_rank.hpp"
#include "state/reasons.hpp"
#include "state/time.hpp"

#include <optional>
#include <random>
#include <unordered_map>
#include <variant>

namespace auburnweir::coordination
{

/// Whether a retry can run an operation twice.
enum class retry_safety
{
    idempotent,
    proved_not_run, ///< not idempotent, but this attempt is known not to have run
    at_most_once
};

/// A failed attempt at a backend server.
struct failed_attempt
{
    state::service_id service;
    retry_safety safety = retry_safety::at_most_once;
    state::retry_reason cause = state::retry_reason::backend_error;
    int number = 1; ///< of this attempt, from 1
    std::optional<state::time_point> deadline;
};

/// Retry after `delay`, on another backend server where there is one.
struct retry_after
{
    state::duration delay;
};

/// Return the failure to the caller.
struct give_up
{
    state::give_up_reason reason;
};

using retry_decision = std::variant<retry_after, give_up>;

/// Limits of retries.
struct retry_settings
{
    double budget_share = 0.10; ///< retries as a share of requests
    double budget_reserve = 10; ///< retries allowed before any request is recorded
    int max_attempts = 4;       ///< of one request, the first included
    state::duration base_delay = std::chrono::milliseconds{10}; ///< doubles with each attempt
    state::duration max_delay = std::chrono::milliseconds{500};
};

/// Decides on retries; keeps each service's retries to a share of its requests.
///
/// A retry because the backend server is leaving is no failure and is not charged to the budget.
/// Thread-safe; takes `lock_rank::retry_budget`. Reads no clock.
class retry_policy
{
public:
    explicit retry_policy(retry_settings settings)
        : settings_(settings)
    {
    }

    /// Records a request, which adds `budget_share` to the budget of its service.
    void record_request(state::service_id const& service);

    /// Decides on a failed attempt; an allowed retry is charged to the budget.
    retry_decision decide(
        failed_attempt const& attempt, state::time_point now, std::mt19937_64& random);

    /// Number of retries that the budget allows now.
    double budget_left(state::service_id const& service) const;

private:
    double& budget_of(state::service_id const& service);

    retry_settings settings_;
    mutable state::ranked_mutex mutex_{state::lock_rank::retry_budget};
    std::unordered_map<state::service_id, double> budgets_;
};

} // namespace auburnweir::coordination

#endif
