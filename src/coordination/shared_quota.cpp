#include "coordination/shared_quota.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

/// Local share while the number of instances is unknown. The largest deployment has fewer than 400.
constexpr double share_when_unknown = 1.0 / 400;

/// Share of its capacity below which a bucket's level is low.
constexpr double low_share = 0.75;

/// Minimum `retry_after` of a refusal.
constexpr state::duration min_retry_after = std::chrono::milliseconds{100};

/// Maximum number of reports without a response; older ones count as lost.
constexpr std::size_t max_sent_reports = 32;

/// An instance grants a request from its local level when that covers this share of the cost, so
/// that requests larger than the local level are as often granted too early as too late.
constexpr double early_grant_share = 0.5;

/// Share of its capacity below which a bucket is scarce: each instance leaves units to the others.
constexpr double scarce_share = 0.5;

/// Number of equal shares of a scarce bucket that an instance may spend between two report
/// responses. An organisation's requests arrive more densely at some instances than at others.
constexpr double uneven_demand_factor = 3;

/// Time at the full rate by which all isolated instances together may overspend, once. It comes out
/// of the tenth by which the users allow a limit to be exceeded over eight seconds.
constexpr double isolation_reserve_seconds = 0.5;

double seconds(state::duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

double shared_quota::effective_local_share() const
{
    return local_share_ > 0 ? local_share_ : share_when_unknown;
}

double shared_quota::isolation_reserve(bucket const& b)
{
    return isolation_reserve_seconds * b.rate;
}

double shared_quota::local_capacity(bucket const& b) const
{
    return effective_local_share() * (b.capacity + isolation_reserve(b));
}

shared_quota::bucket& shared_quota::bucket_of(
    state::organisation_quota const& quota, state::time_point now)
{
    auto const [it, added] = buckets_.try_emplace(quota.id);
    auto& b = it->second;
    if (!added)
        refill(b, now);
    b.rate = used_share_ * quota.rate_per_second;
    b.capacity = std::max(quota.burst, quota.rate_per_second);
    if (!added)
        return b;
    // A bucket starts with the local share only: the others may just have spent the rest.
    b.level = effective_local_share() * b.capacity;
    b.local_level = local_share_ > 0 ? local_capacity(b) : 0;
    b.refilled_at = now;
    return b;
}

quota_decision shared_quota::acquire(
    state::organisation_quota const& quota, double cost, state::time_point now)
{
    if (quota.rate_per_second <= 0)
        return quota_granted{};
    state::ranked_lock lock(mutex_);
    update_isolation(now);
    auto& b = bucket_of(quota, now);
    // A request larger than the bucket is granted when the bucket is full, and leaves a debt.
    auto const needed = isolated_ ? std::min(early_grant_share * cost, local_capacity(b))
                                  : std::min(cost, b.capacity);
    auto& level = isolated_ ? b.local_level : b.level;
    if (level >= needed && (isolated_ || is_fair(b, cost)))
    {
        level -= cost;
        if (!isolated_)
            b.charged += cost;
        return quota_granted{};
    }
    auto const refill_rate = b.rate * (isolated_ ? effective_local_share() : visible_share_);
    auto const wait = std::chrono::duration<double>(std::max(0.0, needed - level) / refill_rate);
    return quota_exceeded{
        std::max(min_retry_after, std::chrono::duration_cast<state::duration>(wait))};
}

bool shared_quota::is_fair(bucket const& b, double cost) const
{
    if (b.level >= scarce_share * b.capacity)
        return true;
    auto const spent = b.charged - b.acknowledged;
    auto const allowed = uneven_demand_factor * effective_local_share() * (b.level + spent);
    return spent + early_grant_share * cost <= allowed;
}

void shared_quota::refund(state::organisation_id const& organisation, double cost)
{
    state::ranked_lock lock(mutex_);
    auto const it = buckets_.find(organisation);
    if (it == buckets_.end())
        return;
    auto& b = it->second;
    (isolated_ ? b.local_level : b.level) += cost;
    if (!isolated_)
        b.charged -= cost;
}

void shared_quota::apply_limits(
    std::vector<state::organisation_quota> const& quotas, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    update_isolation(now);
    for (auto const& quota : quotas)
        if (quota.rate_per_second > 0)
            bucket_of(quota, now);
}

void shared_quota::refill(bucket& b, state::time_point now) const
{
    if (now <= b.refilled_at)
        return;
    auto const elapsed = seconds(now - b.refilled_at);
    b.refilled_at = now;
    if (isolated_)
        b.local_level =
            std::min(local_capacity(b), b.local_level + effective_local_share() * b.rate * elapsed);
    else
        b.level = std::min(b.capacity, b.level + visible_share_ * b.rate * elapsed);
}

void shared_quota::update_isolation(state::time_point now)
{
    if (!isolated_ && now > shares_valid_until_)
        enter_isolation();
}

void shared_quota::enter_isolation()
{
    for (auto& [id, b] : buckets_)
    {
        refill(b, shares_valid_until_);
        // Charges that no report response includes are paid from the local level instead.
        auto const unacknowledged = b.charged - b.acknowledged;
        b.local_level =
            effective_local_share() * (b.level + unacknowledged + isolation_reserve(b)) -
            unacknowledged;
        b.charged = b.acknowledged;
    }
    isolated_ = true;
}

void shared_quota::leave_isolation()
{
    // The others are assumed to have spent the same proportion of their shares as this instance.
    for (auto& [id, b] : buckets_)
        b.level = std::clamp(
            b.local_level / effective_local_share() - isolation_reserve(b), 0.0, b.capacity);
    isolated_ = false;
}

void shared_quota::update_shares(
    double visible_share, state::time_point valid_until, double local_share, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    update_isolation(now);
    for (auto& [id, b] : buckets_)
        refill(b, now);
    bool const size_was_unknown = local_share_ == 0;
    local_share_ = local_share;
    for (auto& [id, b] : buckets_)
        if (size_was_unknown)
            b.local_level = local_capacity(b);
    visible_share_ = visible_share;
    shares_valid_until_ = valid_until;
    if (isolated_ && valid_until > now)
        leave_isolation();
    update_isolation(now);
}

bool shared_quota::is_isolated(state::time_point now)
{
    state::ranked_lock lock(mutex_);
    update_isolation(now);
    return isolated_;
}

void shared_quota::become_holder(state::time_point now)
{
    state::ranked_lock lock(mutex_);
    update_isolation(now);
    charged_by_writer_.clear();
}

void shared_quota::charge(
    state::instance_incarnation const& writer, state::quota_uses const& uses, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    update_isolation(now);
    auto const [entry, is_new] = charged_by_writer_.try_emplace(writer);
    for (auto const& [organisation, use] : uses)
    {
        auto& last_use = entry->second[organisation];
        auto const increase = is_new ? use.unsettled : use.charged - last_use.charged;
        last_use = use;
        auto const it = buckets_.find(organisation);
        if (it == buckets_.end())
            continue;
        // Refilled first: units that overflowed a full bucket earlier must not offset this
        // increase.
        refill(it->second, now);
        it->second.level -= increase;
    }
}

state::quota_levels shared_quota::issue_levels(state::time_point now)
{
    state::ranked_lock lock(mutex_);
    update_isolation(now);
    state::quota_levels result;
    for (auto& [organisation, b] : buckets_)
    {
        refill(b, now);
        b.acknowledged = b.charged;
        result[organisation] = b.level;
    }
    return result;
}

state::quota_uses shared_quota::begin_report(std::uint64_t sequence, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    update_isolation(now);
    state::quota_uses uses;
    sent_report sent{sequence, {}};
    for (auto& [organisation, b] : buckets_)
    {
        b.reported = b.charged;
        if (b.charged == 0)
            continue;
        sent.charged[organisation] = b.charged;
        uses[organisation] = {b.charged, b.charged - b.acknowledged};
    }
    sent_reports_.push_back(std::move(sent));
    if (sent_reports_.size() > max_sent_reports)
        sent_reports_.pop_front();
    return uses;
}

void shared_quota::apply_levels(
    state::quota_levels const& levels, std::uint64_t sequence, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    update_isolation(now);
    auto const sent = std::find_if(
        sent_reports_.begin(), sent_reports_.end(),
        [&](auto const& s) { return s.sequence == sequence; });
    // Report responses may arrive out of order; an older one holds nothing new.
    if (isolated_ || sent == sent_reports_.end() || sequence <= acknowledged_sequence_)
        return;
    acknowledged_sequence_ = sequence;
    for (auto const& [organisation, level] : levels)
    {
        auto const it = buckets_.find(organisation);
        if (it == buckets_.end())
            continue;
        auto& b = it->second;
        auto const included = sent->charged.find(organisation);
        b.acknowledged = included == sent->charged.end() ? 0 : included->second;
        b.level = std::min(b.capacity, level) - (b.charged - b.acknowledged);
        b.refilled_at = std::max(b.refilled_at, now);
    }
    sent_reports_.erase(sent_reports_.begin(), std::next(sent));
}

bool shared_quota::report_is_urgent() const
{
    state::ranked_lock lock(mutex_);
    return std::any_of(
        buckets_.begin(), buckets_.end(),
        [](auto const& entry)
        {
            auto const& b = entry.second;
            return b.charged != b.reported && b.level < low_share * b.capacity;
        });
}

} // namespace auburnweir::coordination
