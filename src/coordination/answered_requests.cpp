#include "coordination/answered_requests.hpp"

namespace auburnweir::coordination
{

namespace
{

constexpr std::size_t max_requests = 1024;

} // namespace

void answered_requests::add(state::segment_hash fingerprint, state::time_point at)
{
    if (!answered_at_.insert_or_assign(fingerprint, at).second)
        return;
    order_.push_back(fingerprint);
    if (order_.size() <= max_requests)
        return;
    answered_at_.erase(order_.front());
    order_.pop_front();
    ++forgotten_;
}

std::optional<state::time_point> answered_requests::find(state::segment_hash fingerprint) const
{
    auto const found = answered_at_.find(fingerprint);
    if (found == answered_at_.end())
        return std::nullopt;
    return found->second;
}

} // namespace auburnweir::coordination
