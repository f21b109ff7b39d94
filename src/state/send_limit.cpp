#include "state/send_limit.hpp"

#include <algorithm>

namespace auburnweir::state
{

namespace
{

constexpr double capacity = 1; ///< requests

/// At least this rate of all instances together shows when a server lifts its limit.
constexpr request_rate min_rate{0.1};

/// A share of 0 would never open.
constexpr double min_share = 0.001;

double refill_rate(request_rate rate, double share)
{
    return std::max(rate, min_rate).count() * std::max(share, min_share);
}

} // namespace

send_limit::send_limit(request_rate rate, time_point now)
    : rate_(rate)
    , refilled_at_(now)
{
}

void send_limit::change_rate(request_rate rate, double share, time_point now)
{
    refill(share, now);
    rate_ = rate;
}

time_point send_limit::opens_at(double share) const
{
    if (level_ >= capacity)
        return refilled_at_;
    std::chrono::duration<double> const wait{(capacity - level_) / refill_rate(rate_, share)};
    return refilled_at_ + std::chrono::duration_cast<duration>(wait);
}

void send_limit::record_sent(double share, time_point now)
{
    refill(share, now);
    level_ -= 1;
}

void send_limit::refill(double share, time_point now)
{
    auto const seconds = std::chrono::duration<double>(now - refilled_at_).count();
    if (seconds <= 0)
        return;
    level_ = std::min(capacity, level_ + seconds * refill_rate(rate_, share));
    refilled_at_ = now;
}

} // namespace auburnweir::state
