#include "coordination/directory_update_limiter.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

bool directory_update_limiter::may_send(
    state::instance_id const& to, state::directory_version acknowledged,
    state::time_point now) const
{
    auto const sent = sent_.find(to);
    if (sent == sent_.end() || sent->second.version <= acknowledged)
        return true;
    return now - sent->second.at >= limits_.acknowledgement_timeout;
}

bool directory_update_limiter::try_send(std::size_t servers, bool is_copy, state::time_point now)
{
    if (!is_copy && servers < limits_.min_large)
        return true;
    std::chrono::duration<double> const elapsed = now - refilled_at_;
    refilled_at_ = now;
    // The bucket holds the updates of one second.
    auto const rate = limits_.servers_per_second;
    servers_ = std::min(rate, servers_ + elapsed.count() * rate);
    if (servers_ <= 0)
        return false;
    servers_ -= static_cast<double>(servers);
    return true;
}

void directory_update_limiter::record_sent(
    state::instance_id const& to, state::directory_version version, state::time_point now)
{
    std::erase_if(
        sent_, [&](auto const& e) { return now - e.second.at >= limits_.acknowledgement_timeout; });
    sent_[to] = {version, now};
}

} // namespace auburnweir::coordination
