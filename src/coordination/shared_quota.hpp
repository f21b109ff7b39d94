#ifndef AUBURNWEIR_COORDINATION_SHARED_QUOTA_HPP
#define AUBURNWEIR_COORDINATION_SHARED_QUOTA_HPP

#include "state/instance_report.hpp"
#include "state/lock_rank.hpp"
#include "state/route_set.hpp"

#include <deque>
#include <unordered_map>
#include <variant>

namespace auburnweir::coordination
{

/// The request is within the organisation's quota.
struct quota_granted
{
};

/// The request exceeds the quota; a retry after `retry_after` may be granted.
struct quota_exceeded
{
    state::duration retry_after;
};

using quota_decision = std::variant<quota_granted, quota_exceeded>;

/// Quotas of organisations, enforced over all instances.
///
/// Each organisation has a token bucket. The holder of the duties charges its buckets with the
/// amounts that the followers report, and its report responses set the followers' levels: a level
/// is the holder's minus the grants since the report that is responded to. Concurrent grants of
/// several instances become a debt that the bucket repays. An isolated instance gets no response
/// from a holder. It spends its local share of the level at the last response, and its local share
/// of the rate; the holder refills its buckets without that share, so these grants are not charged
/// again.
///
/// Thread-safe; takes `lock_rank::quota`. Never reads a clock.
class shared_quota
{
public:
    /// @param used_share  share of each quota's rate by which buckets are refilled; the rest covers
    ///                    concurrent grants of several instances
    explicit shared_quota(double used_share = 1)
        : used_share_(used_share)
    {
    }

    /// Acquires `cost` units of an organisation's quota.
    quota_decision acquire(
        state::organisation_quota const& quota, double cost, state::time_point now);

    /// Returns units that a request acquired and did not use.
    void refund(state::organisation_id const& organisation, double cost);

    /// Applies the quotas of a configuration.
    void apply_limits(std::vector<state::organisation_quota> const& quotas, state::time_point now);

    /// Sets the shares of the deployment, from 0 to 1, by which buckets are refilled.
    /// @param visible_share  of the instances known to be live, this one included
    /// @param valid_until    after this the instance is isolated
    /// @param local_share    of this instance
    void update_shares(
        double visible_share, state::time_point valid_until, double local_share,
        state::time_point now);

    /// True when no holder responds to this instance and it is not the holder itself.
    bool is_isolated(state::time_point now);

    /// Makes this instance the holder: the other instances report to it from now on.
    void become_holder(state::time_point now);

    /// As the holder: charges the amounts that an incarnation of another instance reports.
    void charge(
        state::instance_incarnation const& writer, state::quota_uses const& uses,
        state::time_point now);

    /// As the holder: returns the units left of each quota, for a report response, and marks its
    /// own charges as acknowledged.
    state::quota_levels issue_levels(state::time_point now);

    /// Returns the amounts for a report to the holder and records the report as sent.
    /// @param sequence  of the report
    state::quota_uses begin_report(std::uint64_t sequence, state::time_point now);

    /// Applies the levels of a report response.
    /// @param sequence  of the report that is responded to
    void apply_levels(
        state::quota_levels const& levels, std::uint64_t sequence, state::time_point now);

    /// True when a report should be sent at once: a bucket's level is low and it has been charged
    /// since the last report.
    bool report_is_urgent() const;

private:
    struct bucket
    {
        double level = 0;       ///< units left of the whole quota
        double local_level = 0; ///< while isolated: units that this instance may grant
        state::time_point refilled_at{};
        double rate = 0; ///< of the whole quota, units per second
        double capacity = 0;
        double charged = 0;
        double acknowledged = 0; ///< `charged` as included in the last report response
        double reported = 0;     ///< `charged` as of the last report
    };

    /// A report whose response has not arrived yet.
    struct sent_report
    {
        std::uint64_t sequence = 0;
        std::map<state::organisation_id, double> charged;
    };

    bucket& bucket_of(state::organisation_quota const& quota, state::time_point now);
    void update_isolation(state::time_point now);
    void enter_isolation();
    void leave_isolation();
    void refill(bucket& b, state::time_point now) const;
    bool is_fair(bucket const& b, double cost) const;
    double effective_local_share() const;
    double local_capacity(bucket const& b) const;
    static double isolation_reserve(bucket const& b);

    double used_share_;
    mutable state::ranked_mutex mutex_{state::lock_rank::quota};
    bool isolated_ = true;
    double visible_share_ = 0;
    double local_share_ = 0;
    state::time_point shares_valid_until_{};
    std::unordered_map<state::organisation_id, bucket> buckets_;
    /// As the holder: the amounts last reported by each writer.
    std::map<state::instance_incarnation, state::quota_uses> charged_by_writer_;
    std::deque<sent_report> sent_reports_;
    std::uint64_t acknowledged_sequence_ = 0;
};

} // namespace auburnweir::coordination

#endif
