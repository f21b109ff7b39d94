#include "coordination/quota_shares.hpp"

#include <algorithm>
#include <cmath>

namespace auburnweir::coordination
{

namespace
{

double seconds(state::duration d)
{
    return std::chrono::duration<double>(d).count();
}

/// Part of a limit that an instance holds before it has seen any other's demand.
constexpr double part_when_unknown = 1.0 / 12;

} // namespace

void quota_shares::divide(std::vector<state::instance_report> const& live)
{
    std::unordered_map<state::organisation_id, double> totals;
    std::unordered_map<state::organisation_id, double> own;
    for (auto const& report : live)
        for (auto const& [organisation, demand] : report.demand)
        {
            totals[organisation] += demand;
            if (report.id == self_)
                own[organisation] += demand;
        }
    auto const even = live.empty() ? part_when_unknown : 1.0 / static_cast<double>(live.size());
    state::ranked_lock lock(mutex_);
    instances_ = live.size();
    parts_.clear();
    for (auto const& [organisation, total] : totals)
    {
        auto const by_demand = total > 0 ? own[organisation] / total : even;
        parts_[organisation] = settings_.even_part * even + (1 - settings_.even_part) * by_demand;
    }
}

double quota_shares::part_locked(state::organisation_id const& organisation) const
{
    auto const it = parts_.find(organisation);
    if (it != parts_.end())
        return it->second;
    return instances_ == 0 ? part_when_unknown : 1.0 / static_cast<double>(instances_);
}

double quota_shares::part_of(state::organisation_id const& organisation) const
{
    state::ranked_lock lock(mutex_);
    return part_locked(organisation);
}

double quota_shares::demand_locked(bucket const& b, state::time_point now) const
{
    auto const memory = seconds(settings_.demand_memory);
    return b.demand * std::exp(-seconds(now - b.asked_at) / memory);
}

quota_decision quota_shares::ask(
    state::organisation_quota const& quota, double cost, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    auto& b = buckets_[quota.id];
    b.demand = demand_locked(b, now) + cost;
    b.asked_at = now;
    if (quota.rate_per_second <= 0)
        return quota_granted{};
    auto const part = part_locked(quota.id);
    auto const rate = quota.rate_per_second * part;
    auto const capacity = std::max(quota.burst * part, rate);
    auto const filled = b.begun ? b.level + rate * seconds(now - b.filled_at) : quota.burst * part;
    b.level = std::min(capacity, filled);
    b.filled_at = now;
    b.begun = true;
    // A request larger than the bucket passes when the bucket is full, and leaves a debt.
    if (b.level >= std::min(cost, capacity))
    {
        b.level -= cost;
        return quota_granted{};
    }
    auto const missing = std::min(cost, capacity) - b.level;
    return quota_exceeded{std::chrono::duration_cast<state::duration>(
        std::chrono::duration<double>(rate > 0 ? missing / rate : 1.0))};
}

void quota_shares::give_back(state::organisation_id const& organisation, double cost)
{
    state::ranked_lock lock(mutex_);
    auto const it = buckets_.find(organisation);
    if (it != buckets_.end())
        it->second.level += cost;
}

std::map<state::organisation_id, double> quota_shares::demand(state::time_point now) const
{
    state::ranked_lock lock(mutex_);
    std::map<state::organisation_id, double> result;
    auto const memory = seconds(settings_.demand_memory);
    for (auto const& [organisation, b] : buckets_)
        result[organisation] = demand_locked(b, now) / memory;
    return result;
}

} // namespace auburnweir::coordination
