#include "coordination/request_shares.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

/// Weight of the latest report in an instance's rate.
constexpr double latest_weight = 0.5;

/// Each instance counts with at least this rate, so that none is left without a share.
constexpr double min_rate = 0.2; ///< requests a second

/// Instances that have not reported for longer know of no limited server, or are gone.
constexpr state::duration max_silence = std::chrono::seconds{5};

/// Time in which all instances that know of limits have reported twice.
constexpr state::duration settle_time = std::chrono::seconds{2};

/// Part of a limit that is divided among the instances in the server's failure domain alone.
constexpr double own_domain_part = 0.75;

constexpr std::size_t max_instances = 4096;

} // namespace

void request_shares::record(
    state::instance_incarnation const& instance, state::failure_domain_id const& domain,
    std::uint64_t requests, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    remove_silent(now);
    if (instances_.empty())
        counting_since_ = now;
    auto const found = instances_.find(instance.id);
    bool const is_new =
        found == instances_.end() || found->second.incarnation != instance.incarnation;
    if (is_new)
    {
        if (found != instances_.end() || instances_.size() < max_instances)
            instances_[instance.id] = {instance.incarnation, domain, requests, 0, now, now};
        return;
    }
    auto& t = found->second;
    auto const seconds = std::chrono::duration<double>(now - t.last_at).count();
    if (seconds <= 0 || requests < t.requests)
        return;
    auto const latest = static_cast<double>(requests - t.requests) / seconds;
    t.rate =
        t.last_at == t.first_at ? latest : latest_weight * latest + (1 - latest_weight) * t.rate;
    t.requests = requests;
    t.last_at = now;
}

std::optional<state::traffic_shares> request_shares::shares_of(
    state::instance_id const& instance, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    remove_silent(now);
    if (!instances_.contains(instance) || now - *counting_since_ < settle_time)
        return std::nullopt;
    state::traffic_shares shares;
    double total = 0;
    for (auto const& [id, t] : instances_)
    {
        auto const rate = std::max(t.rate, min_rate);
        total += rate;
        shares.by_domain[t.domain] += rate;
        if (id == instance)
            shares.own = rate;
    }
    shares.own /= total;
    for (auto& [domain, rate] : shares.by_domain)
        rate /= total;
    return shares;
}

void request_shares::remove_silent(state::time_point now)
{
    std::erase_if(
        instances_, [&](auto const& entry) { return now - entry.second.last_at > max_silence; });
}

state::send_shares send_shares_from(
    state::traffic_shares const& traffic, state::failure_domain_id const& own_domain)
{
    state::send_shares shares;
    shares.elsewhere = traffic.own;
    for (auto const& [domain, part] : traffic.by_domain)
    {
        auto& share = shares.by_domain[domain];
        share = (1 - own_domain_part) * traffic.own;
        if (domain == own_domain && part > 0)
            share += own_domain_part * traffic.own / part;
    }
    return shares;
}

state::send_shares equal_send_shares(std::uint64_t instance_count)
{
    return {{}, 1.0 / static_cast<double>(std::max<std::uint64_t>(instance_count, 1))};
}

} // namespace auburnweir::coordination
