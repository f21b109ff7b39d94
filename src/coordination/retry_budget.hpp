#ifndef AUBURNWEIR_COORDINATION_RETRY_BUDGET_HPP
#define AUBURNWEIR_COORDINATION_RETRY_BUDGET_HPP

#include "state/ids.hpp"
#include "state/lock_rank.hpp"
#include "state/time.hpp"

#include <deque>
#include <optional>
#include <unordered_map>

namespace auburnweir::coordination
{

/// This instance's local share of a deployment-wide limit on retries.
struct retry_budget_limits
{
    double ratio = 0.2; ///< retries per first attempt of a request
    double slack = 0;   ///< retries allowed beyond the ratio in any window
    state::duration window = std::chrono::seconds{10};
};

/// Limits retries to a share of first attempts in any sliding window, for each service.
///
/// The ratio holds for each instance's own requests, so it holds for the whole deployment.
/// Thread-safe; takes `lock_rank::retry_budget`. Never reads a clock.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_limits limits)
        : limits_(limits)
    {
    }

    /// Sets this instance's local share of the slack.
    void set_slack(double retries);

    void record_request(state::service_id const& service, state::time_point now);

    /// True when a retry could be acquired now. Acquires nothing.
    bool allows(state::service_id const& service, state::time_point now);

    /// Acquires one retry.
    /// @return false when the budget of the window is exhausted
    bool try_acquire(state::service_id const& service, state::time_point now);

    /// Returns a retry that was acquired at a time and not used.
    void release(state::service_id const& service, state::time_point acquired_at);

private:
    struct history
    {
        std::deque<state::time_point> requests;
        std::deque<state::time_point> retries;
    };

    void remove_expired(history& h, state::time_point now) const;
    bool allows_one_more(history& h, state::time_point now) const;

    retry_budget_limits limits_;
    mutable state::ranked_mutex mutex_{state::lock_rank::retry_budget};
    std::unordered_map<state::service_id, history> histories_;
};

/// A retry that is acquired before the attempt that may need it; released unless it is used.
class held_retry
{
public:
    /// @return null when the budget is exhausted
    static std::optional<held_retry> acquire(
        retry_budget& budget, state::service_id const& service, state::time_point now);

    held_retry(held_retry&& other) noexcept;
    held_retry& operator=(held_retry&& other) noexcept;
    held_retry(held_retry const&) = delete;
    held_retry& operator=(held_retry const&) = delete;
    ~held_retry();

    /// Keeps the retry charged to the budget.
    void use() { budget_ = nullptr; }

private:
    held_retry(retry_budget& budget, state::service_id service, state::time_point acquired_at)
        : budget_(&budget)
        , service_(std::move(service))
        , acquired_at_(acquired_at)
    {
    }

    void release();

    retry_budget* budget_; ///< null once the retry is used, released or moved
    state::service_id service_;
    state::time_point acquired_at_;
};

} // namespace auburnweir::coordination

#endif
