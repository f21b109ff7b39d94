#include "coordination/retry_budget.hpp"

namespace auburnweir::coordination
{

void retry_budget::remove_expired(history& h, state::time_point now) const
{
    auto const window_start = now - limits_.window;
    for (auto* times : {&h.requests, &h.retries})
        while (!times->empty() && times->front() <= window_start)
            times->pop_front();
}

void retry_budget::set_slack(double retries)
{
    state::ranked_lock lock(mutex_);
    limits_.slack = retries;
}

void retry_budget::record_request(state::service_id const& service, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    auto& h = histories_[service];
    remove_expired(h, now);
    h.requests.push_back(now);
}

bool retry_budget::allows_one_more(history& h, state::time_point now) const
{
    remove_expired(h, now);
    auto const allowed = limits_.ratio * static_cast<double>(h.requests.size()) + limits_.slack;
    return static_cast<double>(h.retries.size()) + 1 <= allowed;
}

bool retry_budget::allows(state::service_id const& service, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    return allows_one_more(histories_[service], now);
}

bool retry_budget::try_acquire(state::service_id const& service, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    auto& h = histories_[service];
    if (!allows_one_more(h, now))
        return false;
    h.retries.push_back(now);
    return true;
}

} // namespace auburnweir::coordination
