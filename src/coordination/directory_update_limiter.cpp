#include "coordination/directory_update_limiter.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

void directory_update_limiter::refill(state::time_point now)
{
    std::chrono::duration<double> const elapsed = now - refilled_at_;
    refilled_at_ = now;
    // The bucket holds the updates of one second.
    tokens_ = std::min(
        limits_.servers_per_second, tokens_ + elapsed.count() * limits_.servers_per_second);
}

bool directory_update_limiter::try_send(
    state::instance_id const& to, std::size_t servers, state::time_point now)
{
    if (servers < limits_.min_large)
        return true;
    auto const sent = sent_at_.find(to);
    if (sent != sent_at_.end() && now - sent->second < limits_.repeat_interval)
        return false;
    refill(now);
    if (tokens_ <= 0)
        return false;
    tokens_ -= static_cast<double>(servers);
    std::erase_if(
        sent_at_, [&](auto const& e) { return now - e.second >= limits_.repeat_interval; });
    sent_at_[to] = now;
    return true;
}

} // namespace auburnweir::coordination
