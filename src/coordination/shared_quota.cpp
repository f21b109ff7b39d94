#include "coordination/shared_quota.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

/// Part that is assumed before any other instance was heard.
constexpr double part_when_unknown = 0.1;

/// Shortest wait that a refused caller is told.
constexpr state::duration least_wait = std::chrono::milliseconds{100};

} // namespace

quota_decision shared_quota::ask(
    state::organisation_quota const& quota, double cost, state::time_point now)
{
    if (quota.rate_per_second <= 0)
        return quota_granted{};
    state::ranked_lock lock(mutex_);
    auto& b = buckets_[quota.id];
    auto const part = part_ > 0 ? part_ : part_when_unknown;
    auto const rate = quota.rate_per_second * part;
    auto const capacity = std::max(quota.burst, quota.rate_per_second);
    auto const seconds = std::chrono::duration<double>(now - b.filled_at).count();
    // A bucket begins with its part alone: the others may have used up the rest just before.
    b.level = b.begun ? std::min(capacity, b.level + rate * seconds) : capacity * part;
    b.filled_at = now;
    b.begun = true;
    // A request larger than the bucket passes when the bucket is full, and leaves a debt.
    auto const needed = std::min(cost, capacity);
    if (b.level >= needed)
    {
        b.level -= cost;
        b.consumed += cost;
        return quota_granted{};
    }
    auto const wait = std::chrono::duration<double>((needed - b.level) / rate);
    return quota_exceeded{std::max(least_wait, std::chrono::duration_cast<state::duration>(wait))};
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

void shared_quota::apply(state::usage_writer const& writer, state::consumed_units const& consumed)
{
    state::ranked_lock lock(mutex_);
    bool const first = !others_.contains(writer);
    auto& known = others_[writer];
    for (auto const& [organisation, units] : consumed)
    {
        auto& before = known[organisation];
        auto const news = units - before;
        before = units;
        // What a newly seen instance granted before says nothing of the present.
        if (!first)
            buckets_[organisation].level -= news;
    }
}

void shared_quota::see(double part)
{
    state::ranked_lock lock(mutex_);
    part_ = part;
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
