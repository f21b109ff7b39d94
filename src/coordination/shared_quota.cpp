#include "coordination/shared_quota.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

/// Part that is assumed before any other instance was heard.
constexpr double part_when_unknown = 0.1;

/// Part of its capacity below which a bucket runs low.
constexpr double low_part = 0.75;

/// Shortest wait that a refused caller is reported.
constexpr state::duration least_wait = std::chrono::milliseconds{100};

} // namespace

quota_decision shared_quota::ask(
    state::organisation_quota const& quota, double cost, state::time_point now)
{
    if (quota.rate_per_second <= 0)
        return quota_granted{};
    state::ranked_lock lock(mutex_);
    auto& b = buckets_[quota.id];
    b.rate = used_part_ * quota.rate_per_second;
    b.capacity = std::max(quota.burst, quota.rate_per_second);
    if (!b.begun)
    {
        // A bucket begins with its part alone: the others may have used up the rest just before.
        b.level = b.capacity * part(now);
        b.filled_at = now;
        b.begun = true;
    }
    fill(b, now);
    // A request larger than the bucket passes when the bucket is full, and leaves a debt.
    auto const needed = std::min(cost, b.capacity);
    if (b.level >= needed)
    {
        b.level -= cost;
        b.consumed += cost;
        return quota_granted{};
    }
    auto const wait = std::chrono::duration<double>((needed - b.level) / (b.rate * part(now)));
    return quota_exceeded{std::max(least_wait, std::chrono::duration_cast<state::duration>(wait))};
}

double shared_quota::part(state::time_point now) const
{
    auto const known = now <= part_until_ ? part_ : alone_;
    return known > 0 ? known : part_when_unknown;
}

void shared_quota::fill(bucket& b, state::time_point now) const
{
    auto const seconds = [](state::duration d) { return std::chrono::duration<double>(d).count(); };
    auto const seen = std::clamp(part_until_, b.filled_at, std::max(b.filled_at, now));
    auto const filled =
        b.rate * (part(seen) * seconds(seen - b.filled_at) + part(now) * seconds(now - seen));
    b.level = std::min(b.capacity, b.level + filled);
    b.filled_at = std::max(b.filled_at, now);
}

void shared_quota::give_back(state::organisation_id const& organisation, double cost)
{
    state::ranked_lock lock(mutex_);
    auto const it = buckets_.find(organisation);
    if (it == buckets_.end())
        return;
    it->second.level += cost;
    it->second.consumed -= cost;
}

void shared_quota::apply(
    state::usage_writer const& writer, state::consumed_units const& consumed, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    bool const first = !others_.contains(writer);
    auto& known = others_[writer];
    for (auto const& [organisation, units] : consumed)
    {
        auto& before = known[organisation];
        auto const increase = units - before;
        before = units;
        auto const it = buckets_.find(organisation);
        // What a newly seen instance granted before says nothing of the present, and a bucket that
        // has not begun will begin low.
        if (first || it == buckets_.end() || !it->second.begun)
            continue;
        // Filled first: tokens that overflowed a full bucket earlier must not offset this increase.
        fill(it->second, now);
        it->second.level -= increase;
    }
}

void shared_quota::see(double part, state::time_point until, double alone)
{
    state::ranked_lock lock(mutex_);
    part_ = part;
    part_until_ = until;
    alone_ = alone;
}

state::consumed_units shared_quota::report_consumed()
{
    state::ranked_lock lock(mutex_);
    state::consumed_units result;
    for (auto& [organisation, b] : buckets_)
    {
        b.reported = b.consumed;
        if (b.consumed != 0)
            result[organisation] = b.consumed;
    }
    return result;
}

bool shared_quota::runs_low() const
{
    state::ranked_lock lock(mutex_);
    return std::any_of(
        buckets_.begin(), buckets_.end(),
        [](auto const& entry)
        {
            auto const& b = entry.second;
            return b.consumed != b.reported && b.level < low_part * b.capacity;
        });
}

state::consumed_units shared_quota::consumed() const
{
    state::ranked_lock lock(mutex_);
    state::consumed_units result;
    for (auto const& [organisation, b] : buckets_)
        if (b.consumed != 0)
            result[organisation] = b.consumed;
    return result;
}

} // namespace auburnweir::coordination
