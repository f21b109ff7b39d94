#include "coordination/shared_quota.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

/// Own part before the number of instances is known: of more than the largest deployment has.
constexpr double part_when_unknown = 1.0 / 400;

/// Part of its capacity below which a bucket runs low.
constexpr double low_part = 0.75;

/// Shortest wait that a refused caller is reported.
constexpr state::duration least_wait = std::chrono::milliseconds{100};

/// Reports that may be on their way at the same time; older ones are lost.
constexpr std::size_t most_sent_reports = 32;

/// An instance grants a request from its own part when that covers this part of the cost, so that
/// requests larger than the part are as often granted too early as too late.
constexpr double early_grant = 0.5;

/// Below this part of its capacity a bucket is spent with regard to the other instances.
constexpr double scarce_part = 0.5;

/// A scarce bucket yields so many times an instance's even part between two views: an
/// organisation's requests are denser at some instances than at others.
constexpr double uneven_demand = 3;

/// Part of a second's rate by which all instances together may overspend while they are alone,
/// once: from the tenth by which the users let a limit be overrun in eight seconds.
constexpr double alone_reserve = 0.5;

double seconds(state::duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

double shared_quota::own_part() const
{
    return own_ > 0 ? own_ : part_when_unknown;
}

double shared_quota::reserve(bucket const& b)
{
    return alone_reserve * b.rate;
}

double shared_quota::full_part(bucket const& b) const
{
    return own_part() * (b.capacity + reserve(b));
}

shared_quota::bucket& shared_quota::bucket_of(
    state::organisation_quota const& quota, state::time_point now)
{
    auto const [it, added] = buckets_.try_emplace(quota.id);
    auto& b = it->second;
    if (!added)
        fill(b, now);
    b.rate = used_part_ * quota.rate_per_second;
    b.capacity = std::max(quota.burst, quota.rate_per_second);
    if (!added)
        return b;
    // A bucket begins with the own part alone: the others may have used up the rest just before.
    b.level = own_part() * b.capacity;
    b.part = own_ > 0 ? full_part(b) : 0;
    b.filled_at = now;
    return b;
}

quota_decision shared_quota::acquire(
    state::organisation_quota const& quota, double cost, state::time_point now)
{
    if (quota.rate_per_second <= 0)
        return quota_granted{};
    state::ranked_lock lock(mutex_);
    look(now);
    auto& b = bucket_of(quota, now);
    // A request larger than the bucket passes when the bucket is full, and leaves a debt.
    auto const needed =
        alone_ ? std::min(early_grant * cost, full_part(b)) : std::min(cost, b.capacity);
    auto& left = alone_ ? b.part : b.level;
    if (left >= needed && (alone_ || is_fair(b, cost)))
    {
        left -= cost;
        if (!alone_)
            b.charged += cost;
        return quota_granted{};
    }
    auto const filled_by = b.rate * (alone_ ? own_part() : seen_);
    auto const wait = std::chrono::duration<double>(std::max(0.0, needed - left) / filled_by);
    return quota_exceeded{std::max(least_wait, std::chrono::duration_cast<state::duration>(wait))};
}

bool shared_quota::is_fair(bucket const& b, double cost) const
{
    if (b.level >= scarce_part * b.capacity)
        return true;
    auto const spent = b.charged - b.settled;
    auto const yielded = uneven_demand * own_part() * (b.level + spent);
    return spent + early_grant * cost <= yielded;
}

void shared_quota::refund(state::organisation_id const& organisation, double cost)
{
    state::ranked_lock lock(mutex_);
    auto const it = buckets_.find(organisation);
    if (it == buckets_.end())
        return;
    auto& b = it->second;
    (alone_ ? b.part : b.level) += cost;
    if (!alone_)
        b.charged -= cost;
}

void shared_quota::apply_limits(
    std::vector<state::organisation_quota> const& quotas, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    look(now);
    for (auto const& quota : quotas)
        if (quota.rate_per_second > 0)
            bucket_of(quota, now);
}

void shared_quota::fill(bucket& b, state::time_point now) const
{
    if (now <= b.filled_at)
        return;
    auto const elapsed = seconds(now - b.filled_at);
    b.filled_at = now;
    if (alone_)
        b.part = std::min(full_part(b), b.part + own_part() * b.rate * elapsed);
    else
        b.level = std::min(b.capacity, b.level + seen_ * b.rate * elapsed);
}

void shared_quota::look(state::time_point now)
{
    if (!alone_ && now > seen_until_)
        enter_alone();
}

void shared_quota::enter_alone()
{
    for (auto& [id, b] : buckets_)
    {
        fill(b, seen_until_);
        // What no view has included is paid from the own part, in place of being charged.
        auto const unsettled = b.charged - b.settled;
        b.part = own_part() * (b.level + unsettled + reserve(b)) - unsettled;
        b.charged = b.settled;
    }
    alone_ = true;
}

void shared_quota::leave_alone()
{
    // The others are taken to have spent of their parts as this instance did of its own.
    for (auto& [id, b] : buckets_)
        b.level = std::clamp(b.part / own_part() - reserve(b), 0.0, b.capacity);
    alone_ = false;
}

void shared_quota::update_shares(
    double part, state::time_point until, double own, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    look(now);
    for (auto& [id, b] : buckets_)
        fill(b, now);
    bool const size_is_news = own_ == 0;
    own_ = own;
    for (auto& [id, b] : buckets_)
        if (size_is_news)
            b.part = full_part(b);
    seen_ = part;
    seen_until_ = until;
    if (alone_ && until > now)
        leave_alone();
    look(now);
}

bool shared_quota::isolated(state::time_point now)
{
    state::ranked_lock lock(mutex_);
    look(now);
    return alone_;
}

void shared_quota::become_holder(state::time_point now)
{
    state::ranked_lock lock(mutex_);
    look(now);
    charged_.clear();
}

void shared_quota::charge(
    state::usage_writer const& writer, state::quota_uses const& uses, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    look(now);
    auto const [known, first] = charged_.try_emplace(writer);
    for (auto const& [organisation, use] : uses)
    {
        auto& before = known->second[organisation];
        auto const increase = first ? use.unsettled : use.charged - before.charged;
        before = use;
        auto const it = buckets_.find(organisation);
        if (it == buckets_.end())
            continue;
        // Filled first: tokens that overflowed a full bucket earlier must not offset this increase.
        fill(it->second, now);
        it->second.level -= increase;
    }
}

state::quota_levels shared_quota::levels(state::time_point now)
{
    state::ranked_lock lock(mutex_);
    look(now);
    state::quota_levels result;
    for (auto& [organisation, b] : buckets_)
    {
        fill(b, now);
        b.settled = b.charged;
        result[organisation] = b.level;
    }
    return result;
}

state::quota_uses shared_quota::report(std::uint64_t sequence, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    look(now);
    state::quota_uses uses;
    sent_report sent{sequence, {}};
    for (auto& [organisation, b] : buckets_)
    {
        b.reported = b.charged;
        if (b.charged == 0)
            continue;
        sent.charged[organisation] = b.charged;
        uses[organisation] = {b.charged, b.charged - b.settled};
    }
    sent_.push_back(std::move(sent));
    if (sent_.size() > most_sent_reports)
        sent_.pop_front();
    return uses;
}

void shared_quota::apply_levels(
    state::quota_levels const& levels, std::uint64_t sequence, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    look(now);
    auto const sent = std::find_if(
        sent_.begin(), sent_.end(), [&](auto const& s) { return s.sequence == sequence; });
    // Views may overtake each other; an older one says nothing new.
    if (alone_ || sent == sent_.end() || sequence <= settled_sequence_)
        return;
    settled_sequence_ = sequence;
    for (auto const& [organisation, level] : levels)
    {
        auto const it = buckets_.find(organisation);
        if (it == buckets_.end())
            continue;
        auto& b = it->second;
        auto const included = sent->charged.find(organisation);
        b.settled = included == sent->charged.end() ? 0 : included->second;
        b.level = std::min(b.capacity, level) - (b.charged - b.settled);
        b.filled_at = std::max(b.filled_at, now);
    }
    sent_.erase(sent_.begin(), std::next(sent));
}

bool shared_quota::report_is_urgent() const
{
    state::ranked_lock lock(mutex_);
    return std::any_of(
        buckets_.begin(), buckets_.end(),
        [](auto const& entry)
        {
            auto const& b = entry.second;
            return b.charged != b.reported && b.level < low_part * b.capacity;
        });
}

} // namespace auburnweir::coordination
