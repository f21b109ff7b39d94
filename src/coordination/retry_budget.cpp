#include "coordination/retry_budget.hpp"

#include <algorithm>
#include <utility>

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

void retry_budget::release(state::service_id const& service, state::time_point acquired_at)
{
    state::ranked_lock lock(mutex_);
    auto& retries = histories_[service].retries;
    // It may have left the window.
    auto const released = std::find(retries.begin(), retries.end(), acquired_at);
    if (released != retries.end())
        retries.erase(released);
}

std::optional<held_retry> held_retry::acquire(
    retry_budget& budget, state::service_id const& service, state::time_point now)
{
    if (!budget.try_acquire(service, now))
        return std::nullopt;
    return held_retry{budget, service, now};
}

held_retry::held_retry(held_retry&& other) noexcept
    : budget_(std::exchange(other.budget_, nullptr))
    , service_(std::move(other.service_))
    , acquired_at_(other.acquired_at_)
{
}

held_retry& held_retry::operator=(held_retry&& other) noexcept
{
    if (this == &other)
        return *this;
    release();
    budget_ = std::exchange(other.budget_, nullptr);
    service_ = std::move(other.service_);
    acquired_at_ = other.acquired_at_;
    return *this;
}

held_retry::~held_retry()
{
    release();
}

void held_retry::release()
{
    if (auto* const budget = std::exchange(budget_, nullptr))
        budget->release(service_, acquired_at_);
}

} // namespace auburnweir::coordination
