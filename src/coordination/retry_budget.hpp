#ifndef AUBURNWEIR_COORDINATION_RETRY_BUDGET_HPP
#define AUBURNWEIR_COORDINATION_RETRY_BUDGET_HPP

#include "state/ids.hpp"
#include "state/lock_rank.hpp"
#include "state/time.hpp"

#include <deque>
#include <unordered_map>

namespace auburnweir::coordination
{

/// This instance's part of a deployment-wide limit on repeats.
struct retry_budget_limits
{
    double ratio = 0.2; ///< repeats for each first request
    double slack = 0;   ///< repeats that this instance may add in any window
    state::duration window = std::chrono::seconds{10};
};

/// Keeps repeats to a share of first requests in any sliding window, service by service.
///
/// The ratio holds for each instance's own requests, so it holds for their sum.
/// Thread-safe; takes `lock_rank::retry_budget`. Never reads a clock.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_limits limits)
        : limits_(limits)
    {
    }

    /// Changes this instance's part of the slack.
    void set_slack(double repeats);

    void record_request(state::service_id const& service, state::time_point now);

    /// True when a repeat could be taken now.
    bool allows(state::service_id const& service, state::time_point now);

    /// Takes one repeat. @return false when the window's repeats are used up
    bool try_acquire(state::service_id const& service, state::time_point now);

private:
    struct history
    {
        std::deque<state::time_point> requests;
        std::deque<state::time_point> repeats;
    };

    void forget_old(history& h, state::time_point now) const;
    bool has_room(history& h, state::time_point now) const;

    retry_budget_limits limits_;
    mutable state::ranked_mutex mutex_{state::lock_rank::retry_budget};
    std::unordered_map<state::service_id, history> histories_;
};

} // namespace auburnweir::coordination

#endif
