#include "state/store_eras.hpp"

namespace auburnweir::state
{

store_eras::observation store_eras::observe(store_position position, time_point received_at)
{
    ranked_lock lock(mutex_);
    if (!current_)
    {
        current_ = position.era;
        first_seen_at_ = received_at;
        return observation::current;
    }
    if (position.era < *current_)
        return observation::outdated;
    if (position.era == *current_)
        return observation::current;
    current_ = position.era;
    first_seen_at_ = received_at;
    began_at_ = received_at;
    first_version_ = position.version;
    return observation::began;
}

store_era store_eras::current() const
{
    ranked_lock lock(mutex_);
    return current_.value_or(store_era{0});
}

std::optional<time_point> store_eras::first_seen_at() const
{
    ranked_lock lock(mutex_);
    return first_seen_at_;
}

std::optional<time_point> store_eras::began_at() const
{
    ranked_lock lock(mutex_);
    return began_at_;
}

bool store_eras::may_be_copied(row_version row) const
{
    ranked_lock lock(mutex_);
    return began_at_ && row <= first_version_;
}

} // namespace auburnweir::state
