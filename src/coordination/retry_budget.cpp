#include "coordination/retry_budget.hpp"

namespace auburnweir::coordination
{

void retry_budget::forget_old(history& h, state::time_point now) const
{
    auto const oldest = now - limits_.window;
    for (auto* times : {&h.requests, &h.repeats})
        while (!times->empty() && times->front() <= oldest)
            times->pop_front();
}

void retry_budget::set_slack(double repeats)
{
    state::ranked_lock lock(mutex_);
    limits_.slack = repeats;
}

void retry_budget::record_request(state::service_id const& service, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    auto& h = histories_[service];
    forget_old(h, now);
    h.requests.push_back(now);
}

bool retry_budget::has_room(history& h, state::time_point now) const
{
    forget_old(h, now);
    auto const allowed = limits_.ratio * static_cast<double>(h.requests.size()) + limits_.slack;
    return static_cast<double>(h.repeats.size()) + 1 <= allowed;
}

bool retry_budget::allows(state::service_id const& service, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    return has_room(histories_[service], now);
}

bool retry_budget::try_acquire(state::service_id const& service, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    auto& h = histories_[service];
    if (!has_room(h, now))
        return false;
    h.repeats.push_back(now);
    return true;
}

} // namespace auburnweir::coordination
