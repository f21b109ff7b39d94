#ifndef AUBURNWEIR_STATE_ROUTE_TABLE_HPP
#define AUBURNWEIR_STATE_ROUTE_TABLE_HPP

#include "state/lock_rank.hpp"
#include "state/route_history.hpp"
#include "state/route_set.hpp"
#include "state/store_position.hpp"

#include <algorithm>

namespace auburnweir::state
{

/// The active routes and when they were last confirmed. Their version never decreases.
///
/// Thread-safe; takes `lock_rank::configuration`.
class route_table
{
public:
    /// Activates routes.
    /// @return false when the active version is at least as high
    bool apply(route_set_ptr routes)
    {
        ranked_lock lock(mutex_);
        if (routes_ && routes->version() <= routes_->version())
            return false;
        added_routes_ = history_.record(*routes);
        routes_ = std::move(routes);
        return true;
    }

    /// Number of routes that the active version added to the one before.
    std::size_t added_routes() const
    {
        ranked_lock lock(mutex_);
        return added_routes_;
    }

    /// The version that added a route while this process ran; null for routes of its first version.
    std::optional<configuration_version> added_in(route const& r) const
    {
        ranked_lock lock(mutex_);
        return history_.added_in(r);
    }

    /// Records that all changes of the operator rows up to `newest` have been applied.
    void mark_applied_through(store_position newest)
    {
        ranked_lock lock(mutex_);
        newest_ = std::max(newest_, newest);
    }

    /// Position of the newest operator row that was applied.
    store_position newest() const
    {
        ranked_lock lock(mutex_);
        return newest_;
    }

    /// Records that a request to the store, sent at `requested_at` by this instance or by the
    /// holder of the duties, found nothing newer.
    void confirm(time_point requested_at)
    {
        ranked_lock lock(mutex_);
        confirmed_at_ = std::max(confirmed_at_, requested_at);
    }

    /// The active routes; null before the first ones.
    route_set_ptr current() const
    {
        ranked_lock lock(mutex_);
        return routes_;
    }

    /// Time since the last confirmation; before the first one, longer than any bound on it.
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
    route_history history_;
    std::size_t added_routes_ = 0;
    store_position newest_;
    time_point confirmed_at_{};
};

} // namespace auburnweir::state

#endif
