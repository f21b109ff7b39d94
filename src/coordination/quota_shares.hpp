#ifndef AUBURNWEIR_COORDINATION_QUOTA_SHARES_HPP
#define AUBURNWEIR_COORDINATION_QUOTA_SHARES_HPP

#include "state/instance_report.hpp"
#include "state/lock_rank.hpp"
#include "state/route_set.hpp"

#include <unordered_map>

namespace auburnweir::coordination
{

/// Within the organisation's limit.
struct quota_granted
{
};

/// Over the limit; worth another try after `retry_after`.
struct quota_exceeded
{
    state::duration retry_after;
};

using quota_decision = std::variant<quota_granted, quota_exceeded>;

/// Settings of the division of limits among instances.
struct quota_settings
{
    state::duration demand_memory = std::chrono::seconds{2}; ///< smoothing of the own demand
    double even_part =
        0.1; ///< of a limit that is divided evenly, so that a quiet instance can begin
};

/// This instance's part of each organisation's limit, as token buckets.
///
/// All instances divide a limit by the same published demands, so the parts sum to the limit.
/// Thread-safe; takes `lock_rank::quota`. Never reads a clock.
class quota_shares
{
public:
    quota_shares(state::instance_id self, quota_settings settings)
        : self_(std::move(self))
        , settings_(settings)
    {
    }

    /// Divides anew by the demands that the live instances published, this one's included.
    void divide(std::vector<state::instance_report> const& live);

    /// Asks for `cost` units of an organisation's limit.
    quota_decision ask(state::organisation_quota const& quota, double cost, state::time_point now);

    /// Returns units that a request was granted and that it did not use.
    void give_back(state::organisation_id const& organisation, double cost);

    /// Units asked for a second lately, each organisation; to be published.
    std::map<state::organisation_id, double> demand(state::time_point now) const;

    /// Part of the organisation's limit that this instance holds.
    double part_of(state::organisation_id const& organisation) const;

private:
    struct bucket
    {
        double level = 0;
        state::time_point filled_at{};
        bool begun = false;
        double demand = 0; ///< decaying sum of what was asked
        state::time_point asked_at{};
    };

    double part_locked(state::organisation_id const& organisation) const;
    double demand_locked(bucket const& b, state::time_point now) const;

    state::instance_id self_;
    quota_settings settings_;
    mutable state::ranked_mutex mutex_{state::lock_rank::quota};
    std::size_t instances_ = 0;
    std::unordered_map<state::organisation_id, double> parts_;
    std::unordered_map<state::organisation_id, bucket> buckets_;
};

} // namespace auburnweir::coordination

#endif
