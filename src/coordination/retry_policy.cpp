#include "coordination/retry_policy.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{
constexpr int max_doublings = 16;
}

double& retry_policy::budget_of(state::service_id const& service)
{
    return budgets_.try_emplace(service, settings_.budget_reserve).first->second;
}

void retry_policy::record_request(state::service_id const& service)
{
    constexpr double max_budget = 100;
    state::ranked_lock lock(mutex_);
    auto& budget = budget_of(service);
    budget =
        std::min(budget + settings_.budget_share, std::max(max_budget, settings_.budget_reserve));
}

retry_decision retry_policy::decide(
    failed_attempt const& attempt, state::time_point now, std::mt19937_64& random)
{
    if (attempt.safety == retry_safety::at_most_once)
        return give_up{state::give_up_reason::not_idempotent};
    if (attempt.number >= settings_.max_attempts)
        return give_up{state::give_up_reason::attempts_exhausted};

    auto const doublings = std::min(attempt.number - 1, max_doublings);
    auto const ceiling =
        std::min<state::duration>(settings_.base_delay * (1 << doublings), settings_.max_delay);
    std::uniform_int_distribution<state::duration::rep> jitter(0, ceiling.count());
    auto const delay = state::duration{jitter(random)};
    if (attempt.deadline && now + delay >= *attempt.deadline)
        return give_up{state::give_up_reason::deadline_too_close};

    bool const exempt_from_budget = attempt.cause == state::retry_reason::backend_leaving;
    if (exempt_from_budget)
        return retry_after{delay};
    state::ranked_lock lock(mutex_);
    auto& budget = budget_of(attempt.service);
    if (budget < 1)
        return give_up{state::give_up_reason::budget_exhausted};
    budget -= 1;
    return retry_after{delay};
}

double retry_policy::budget_left(state::service_id const& service) const
{
    state::ranked_lock lock(mutex_);
    auto const it = budgets_.find(service);
    return it == budgets_.end() ? settings_.budget_reserve : it->second;
}

} // namespace auburnweir::coordination
