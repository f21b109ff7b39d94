#include "state/evacuation_table.hpp"

#include "state/store_eras.hpp"

#include <algorithm>

namespace auburnweir::state
{

namespace
{

/// Time after which operators have written again what a store that came back from an older copy has
/// lost, counted from the first sight of the new era. The same as for configurations.
constexpr duration copy_doubt_time = std::chrono::seconds{4};

} // namespace

evacuation_change evacuation_table::apply(evacuation_listing const& listing)
{
    ranked_lock lock(mutex_);
    if (read_ && listing.position < read_->complete_to)
        return {};
    auto const before = in_force();
    observe_era(listing.position.era, listing.requested_at);
    if (!read_)
        read_.emplace();
    read_->complete_to = listing.position;
    if (listing.is_whole)
        read_->domains = listing.listed;
    read_->domains.insert(listing.listed.begin(), listing.listed.end());
    for (auto const& domain : listing.removed)
        read_->domains.erase(domain);
    if (is_in_doubt(listing.requested_at))
        kept_.insert(before.begin(), before.end());
    else
        kept_.clear();
    // A row that is removed in the new era is gone by the operators' order.
    for (auto const& domain : listing.removed)
        kept_.erase(domain);
    return publish(before, listing.requested_at);
}

evacuation_change evacuation_table::apply(evacuations const& held, time_point now)
{
    ranked_lock lock(mutex_);
    if (held_ && held.complete_to < held_->complete_to)
        return {};
    auto const before = in_force();
    observe_era(held.complete_to.era, now);
    bool const has_read_since = !held_ || held.complete_to > held_->complete_to;
    held_ = held;
    if (is_in_doubt(now))
    {
        // The holder may know a row that this instance has never seen, as it started on the copy.
        kept_.insert(before.begin(), before.end());
        kept_.insert(held.domains.begin(), held.domains.end());
    }
    else if (has_read_since && held.complete_to.era == era_)
        kept_.clear();
    return publish(before, now);
}

std::optional<evacuations> evacuation_table::current() const
{
    ranked_lock lock(mutex_);
    if (!read_ && !held_)
        return std::nullopt;
    return evacuations{newer_source().complete_to, in_force()};
}

evacuations const& evacuation_table::newer_source() const
{
    static evacuations const none;
    if (!read_ && !held_)
        return none;
    if (!held_ || (read_ && read_->complete_to >= held_->complete_to))
        return *read_;
    return *held_;
}

evacuation_table::domain_set evacuation_table::in_force() const
{
    auto domains = newer_source().domains;
    domains.insert(kept_.begin(), kept_.end());
    return domains;
}

void evacuation_table::observe_era(store_era era, time_point at)
{
    if (era <= era_)
        return;
    era_ = era;
    if (era > first_store_era)
        doubted_since_ = at;
}

bool evacuation_table::is_in_doubt(time_point at) const
{
    return doubted_since_ && at - *doubted_since_ < copy_doubt_time;
}

evacuation_change evacuation_table::publish(domain_set const& before, time_point now)
{
    auto const after = in_force();
    evacuation_change change;
    std::ranges::set_difference(after, before, std::back_inserter(change.began));
    std::ranges::set_difference(before, after, std::back_inserter(change.ended));
    if (change.began.empty() && change.ended.empty())
        return change;
    // The servers that return count as cold before another worker may choose them.
    for (auto const& domain : change.ended)
        servers_.record_return(domain, now);
    servers_.set_evacuated(after);
    return change;
}

} // namespace auburnweir::state
