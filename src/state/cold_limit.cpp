#include "state/cold_limit.hpp"

#include <algorithm>

namespace auburnweir::state
{

void cold_limit::set_interval(std::optional<duration> interval, time_point settled_at)
{
    if (interval && !interval_)
        settled_at_ = settled_at;
    interval_ = interval;
}

std::optional<time_point> cold_limit::opens_at() const
{
    if (!interval_)
        return std::nullopt;
    return sent_at_ ? std::max(settled_at_, *sent_at_ + *interval_) : settled_at_;
}

} // namespace auburnweir::state
