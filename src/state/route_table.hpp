#ifndef AUBURNWEIR_STATE_ROUTE_TABLE_HPP
#define AUBURNWEIR_STATE_ROUTE_TABLE_HPP

#include "state/lock_rank.hpp"
#include "state/route_set.hpp"

#include <algorithm>

namespace auburnweir::state
{

/// The routes in force and how fresh they are known to be. Never goes back to a lower version.
///
/// Thread-safe; takes `lock_rank::configuration`.
class route_table
{
public:
    /// @return false when a version at least as high is in force
    bool apply(route_set_ptr routes)
    {
        ranked_lock lock(mutex_);
        if (routes_ && routes->version() <= routes_->version())
            return false;
        routes_ = std::move(routes);
        return true;
    }

    /// All changes of the operators up to this version of their rows have been taken.
    void mark_applied_through(row_version newest)
    {
        ranked_lock lock(mutex_);
        newest_ = std::max(newest_, newest);
    }

    /// Version of the newest row of the operators that was taken.
    row_version newest() const
    {
        ranked_lock lock(mutex_);
        return newest_;
    }

    /// The store said in answer to a question of `asked_at`, to this instance or to the holder of
    /// the duties, that nothing newer is known.
    void confirm(time_point asked_at)
    {
        ranked_lock lock(mutex_);
        confirmed_at_ = std::max(confirmed_at_, asked_at);
    }

    /// The routes in force; null before the first.
    route_set_ptr current() const
    {
        ranked_lock lock(mutex_);
        return routes_;
    }

    /// How old the last confirmation is; longer than any bound before the first.
    duration age(time_point now) const
    {
        ranked_lock lock(mutex_);
        if (confirmed_at_ == time_point{})
            return std::chrono::hours{1};
        return now - confirmed_at_;
    }

private:
    mutable ranked_mutex mutex_{lock_rank::configuration};
    route_set_ptr routes_;
    row_version newest_;
    time_point confirmed_at_{};
};

} // namespace auburnweir::state

#endif
