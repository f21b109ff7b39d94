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

/// Limits of organisations over all instances.
///
/// A token bucket for each organisation. The holder of the duties charges its buckets with what the
/// others report, and its views set theirs: a level is the holder's less what was granted since the
/// report that the view answers. Grants that cross become a debt that the bucket repays. An
/// instance that no holder answers spends its part of what was left when it last heard, and its
/// part of the rate; the holder fills without that part, so these grants are not charged again.
/// Thread-safe; takes `lock_rank::quota`. Never reads a clock.
class shared_quota
{
public:
    /// @param used_part  of each limit's rate that buckets fill by; the rest covers grants that
    ///                   cross on their way to other instances
    explicit shared_quota(double used_part = 1)
        : used_part_(used_part)
    {
    }

    /// Asks for `cost` units of an organisation's limit.
    quota_decision acquire(
        state::organisation_quota const& quota, double cost, state::time_point now);

    /// Returns units that a request was granted and that it did not use.
    void refund(state::organisation_id const& organisation, double cost);

    /// Takes over the limits of a configuration.
    void apply_limits(std::vector<state::organisation_quota> const& quotas, state::time_point now);

    /// The part of the deployment that this instance sees, itself included; from 0 to 1.
    /// @param until  later than this the part is not known, and the instance is alone
    /// @param own    the part of this instance by itself
    void update_shares(double part, state::time_point until, double own, state::time_point now);

    /// True when no holder answers this instance and it does not hold the duties itself.
    bool isolated(state::time_point now);

    /// This instance holds the duties from now on: the others report to it.
    void become_holder(state::time_point now);

    /// As the holder: charges what a life of another instance reports.
    void charge(
        state::usage_writer const& writer, state::quota_uses const& uses, state::time_point now);

    /// As the holder: what is left of each limit.
    state::quota_levels levels(state::time_point now);

    /// What a report tells the holder. @param sequence  of the report
    state::quota_uses report(std::uint64_t sequence, state::time_point now);

    /// Takes over the holder's levels. @param sequence  of the report that they include
    void apply_levels(
        state::quota_levels const& levels, std::uint64_t sequence, state::time_point now);

    /// True when the holder should hear at once: a bucket runs low and its view of what this
    /// instance took is out of date.
    bool report_is_urgent() const;

private:
    struct bucket
    {
        double level = 0; ///< of the whole limit
        double part = 0;  ///< while alone: what this instance may grant
        state::time_point filled_at{};
        double rate = 0; ///< of the whole limit, units a second
        double capacity = 0;
        double charged = 0;
        double settled = 0;  ///< `charged` as the last view included it
        double reported = 0; ///< `charged` as of the last report
    };

    /// What a report said, until its view arrives.
    struct sent_report
    {
        std::uint64_t sequence = 0;
        std::map<state::organisation_id, double> charged;
    };

    bucket& bucket_of(state::organisation_quota const& quota, state::time_point now);
    void look(state::time_point now);
    void enter_alone();
    void leave_alone();
    void fill(bucket& b, state::time_point now) const;
    bool is_fair(bucket const& b, double cost) const;
    double own_part() const;
    double full_part(bucket const& b) const;
    static double reserve(bucket const& b);

    double used_part_;
    mutable state::ranked_mutex mutex_{state::lock_rank::quota};
    bool alone_ = true;
    double seen_ = 0;
    double own_ = 0;
    state::time_point seen_until_{};
    std::unordered_map<state::organisation_id, bucket> buckets_;
    std::map<state::usage_writer, state::quota_uses> charged_; ///< as the holder, by writer
    std::deque<sent_report> sent_;
    std::uint64_t settled_sequence_ = 0;
};

} // namespace auburnweir::coordination

#endif
