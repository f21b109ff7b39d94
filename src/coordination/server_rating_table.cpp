#include "coordination/server_rating_table.hpp"

#include <algorithm>
#include <cmath>

namespace auburnweir::coordination
{

namespace
{

using state::duration;
using state::time_point;

/// Event intervals of one stream that count as an observation of one second. Streams of servers
/// that turned slow have fewer events, and weigh as much as those of fast ones.
constexpr double intervals_per_stream = 8;

/// Weight below which earlier observations do not decay. With it, one slow stream changes the
/// rating of a server with little traffic by a tenth of the difference.
constexpr double min_memory = 10;

/// Time constant by which earlier observations lose their weight where there are many. A server
/// that turns four times slower is rated as more than twice as slow after two seconds.
constexpr double memory_seconds = 2.5;

/// Limit, as a factor, by which one observation may differ from the rating, so that one long pause
/// does not outweigh the other streams.
constexpr double max_deviation = 4;

/// Reports come from other processes; larger values are no times between events and no loads.
constexpr duration max_interval = std::chrono::seconds{60};
constexpr std::int64_t max_requests = 1'000'000'000;

/// Changes of an event interval, relative to the published one, from which it is published, and
/// from which at once.
constexpr double published_change = 0.2;
constexpr double urgent_change = 0.5;

/// Part of a server's slots by which its load changes before it is published.
constexpr std::int64_t load_parts = 8;

/// Known values are published again after this time, so that a follower that has an older value
/// for whatever reason gets the current one.
constexpr duration refresh_period = std::chrono::seconds{30};

/// Small changes that are published in a second, where the servers are too many for one response.
/// Without this limit the servers whose values change most often would fill all responses.
constexpr double published_per_second = 48;

/// Interval between searches for values that became unknown or need to be published again.
constexpr duration ageing_period = std::chrono::milliseconds{200};

double seconds_of(duration d)
{
    return std::chrono::duration<double>(d).count();
}

bool differs(duration current, duration published, double change)
{
    auto const difference = static_cast<double>(std::abs((current - published).count()));
    return difference > change * static_cast<double>(published.count());
}

std::int64_t requests_of(state::server_load const& load)
{
    return std::min(load.running, max_requests) + std::min(load.waiting, max_requests);
}

/// Age of a load; loads that are unknown have the age at which one becomes unknown.
duration load_age(std::optional<time_point> load_at, time_point now)
{
    constexpr auto max_age = server_rating_table::max_age;
    return load_at ? std::clamp(now - *load_at, duration::zero(), max_age) : max_age;
}

} // namespace

void server_rating_table::merge(state::server_observations const& seen, time_point now)
{
    state::ranked_lock lock(mutex_);
    for (auto const& o : seen)
    {
        auto const found = entries_.find(o.id);
        if (found != entries_.end() && found->second.incarnation > o.incarnation)
            continue;
        if (found == entries_.end() && entries_.size() >= max_servers)
        {
            ++dropped_;
            continue;
        }
        auto& e = entries_[o.id];
        if (e.incarnation != o.incarnation)
        {
            remove_publication(e);
            e = {};
            e.incarnation = o.incarnation;
        }
        merge_intervals(e, o.intervals, now);
        auto const load_at = now - std::min(o.load_age, max_age);
        if (o.load && (!e.load || load_at >= e.load_at))
        {
            e.load = o.load;
            e.load_at = load_at;
        }
        publish_if_due(o.id, e, now);
    }
}

void server_rating_table::merge_intervals(
    entry& e, state::event_intervals const& seen, time_point now)
{
    if (seen.count == 0 || seen.total <= duration::zero())
        return;
    auto const count = static_cast<double>(seen.count);
    auto mean = std::min(
        static_cast<double>(seen.total.count()) / count, static_cast<double>(max_interval.count()));
    // Reports with observations come about every second, so the sum of the intervals tells the
    // number of streams.
    auto const streams = std::max(1.0, seconds_of(seen.total));
    auto const weight = std::min(count / intervals_per_stream, streams);
    if (interval_of(e, now) == duration::zero())
        e.weight = 0;
    if (e.weight > 0)
    {
        mean = std::clamp(mean, e.event_interval / max_deviation, e.event_interval * max_deviation);
        auto const decayed =
            e.weight * std::exp(-seconds_of(now - e.intervals_at) / memory_seconds);
        e.weight = std::max(std::min(e.weight, min_memory), decayed);
    }
    e.weight += weight;
    e.event_interval =
        e.weight > weight ? e.event_interval + weight / e.weight * (mean - e.event_interval) : mean;
    e.intervals_at = now;
}

duration server_rating_table::interval_of(entry const& e, time_point now)
{
    if (e.weight <= 0 || now - e.intervals_at > max_age)
        return duration::zero();
    return duration{std::max<std::int64_t>(1, std::llround(e.event_interval))};
}

bool server_rating_table::is_publication_due(entry const& e, time_point now) const
{
    auto const& last = e.published;
    auto const interval = interval_of(e, now);
    bool const is_new = last.version == state::rating_version{};
    if (is_new || differs(interval, last.event_interval, urgent_change))
        return true;
    auto const since = now - last.at;
    bool const has_new_values = (e.load && e.load_at > last.at) || e.intervals_at > last.at;
    if (has_new_values && since >= refresh_period)
        return true;
    auto const count = static_cast<double>(entries_.size());
    if (entries_.size() > max_per_response && seconds_of(since) < count / published_per_second)
        return false;
    if (differs(interval, last.event_interval, published_change))
        return true;
    if (!e.load)
        return false;
    auto const change = std::abs(requests_of(*e.load) - last.load);
    return !last.load_at || change >= std::max<std::int64_t>(1, e.load->slots / load_parts);
}

void server_rating_table::publish_if_due(state::backend_id const& id, entry& e, time_point now)
{
    if (!is_publication_due(e, now))
        return;
    remove_publication(e);
    last_version_ += state::rating_version{1};
    auto& p = e.published;
    p = {last_version_, now, interval_of(e, now), 0, std::nullopt};
    if (e.load)
    {
        p.load = requests_of(*e.load);
        p.load_at = e.load_at;
    }
    by_version_.emplace(p.version, id);
}

void server_rating_table::publish_aged(time_point now)
{
    if (now - aged_at_ < ageing_period)
        return;
    aged_at_ = now;
    for (auto& [id, e] : entries_)
        publish_if_due(id, e, now);
}

void server_rating_table::remove_publication(entry const& e)
{
    by_version_.erase(e.published.version);
}

void server_rating_table::retain(
    std::map<state::backend_id, state::incarnation_number> const& listed)
{
    state::ranked_lock lock(mutex_);
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        auto const found = listed.find(it->first);
        if (found != listed.end() && found->second <= it->second.incarnation)
        {
            ++it;
            continue;
        }
        remove_publication(it->second);
        it = entries_.erase(it);
    }
}

state::rating_update server_rating_table::changes_since(
    state::rating_version base, std::size_t max_count, time_point now)
{
    state::ranked_lock lock(mutex_);
    publish_aged(now);
    state::rating_update update;
    update.version = last_version_;
    for (auto it = by_version_.upper_bound(base); it != by_version_.end(); ++it)
    {
        if (update.changed.size() >= max_count)
        {
            update.version = std::prev(it)->first;
            break;
        }
        auto const& e = entries_.at(it->second);
        auto const& p = e.published;
        update.changed.push_back(
            {it->second, e.incarnation, p.event_interval, p.load, load_age(p.load_at, now)});
    }
    return update;
}

std::vector<state::server_rating> server_rating_table::all(time_point now) const
{
    state::ranked_lock lock(mutex_);
    std::vector<state::server_rating> result;
    result.reserve(entries_.size());
    for (auto const& [id, e] : entries_)
    {
        auto const load_at = e.load ? std::optional{e.load_at} : std::nullopt;
        result.push_back(
            {id, e.incarnation, interval_of(e, now), e.load ? requests_of(*e.load) : 0,
             load_age(load_at, now)});
    }
    return result;
}

std::size_t server_rating_table::size() const
{
    state::ranked_lock lock(mutex_);
    return entries_.size();
}

std::uint64_t server_rating_table::dropped() const
{
    state::ranked_lock lock(mutex_);
    return dropped_;
}

} // namespace auburnweir::coordination
