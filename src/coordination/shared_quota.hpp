#ifndef AUBURNWEIR_COORDINATION_SHARED_QUOTA_HPP
#define AUBURNWEIR_COORDINATION_SHARED_QUOTA_HPP

#include "state/instance_report.hpp"
#include "state/lock_rank.hpp"
#include "state/route_set.hpp"

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
/// Each instance keeps a token bucket of the whole limit and takes from it what it grants and what
/// the others say that they granted. What is granted twice before the update arrives becomes a debt
/// that the bucket repays. An instance that does not see all others refills only by the part of
/// the deployment that it sees, so that parts cut off from each other together stay within the
/// limit. Thread-safe; takes `lock_rank::quota`. Never reads a clock.
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
    quota_decision ask(state::organisation_quota const& quota, double cost, state::time_point now);

    /// Returns units that a request was granted and that it did not use.
    void give_back(state::organisation_id const& organisation, double cost);

    /// What a life of another instance has granted since it began.
    void apply(
        state::usage_writer const& writer, state::consumed_units const& consumed,
        state::time_point now);

    /// The part of the deployment that this instance sees, itself included; from 0 to 1.
    /// @param until  later than this the part is not known, and a bucket fills by `alone`
    /// @param alone  the part of this instance by itself
    void see(double part, state::time_point until, double alone);

    /// What this instance has granted since it began; from now on it counts as reported.
    state::consumed_units report_consumed();

    /// What this instance has granted since it began.
    state::consumed_units consumed() const;

    /// True when the others should hear at once: a bucket runs low and they do not know all that
    /// this instance took from it.
    bool runs_low() const;

private:
    struct bucket
    {
        double level = 0;
        state::time_point filled_at{};
        bool begun = false;
        double rate = 0; ///< of the whole limit, units a second
        double capacity = 0;
        double consumed = 0; ///< by this instance
        double reported = 0; ///< the part of it that the others know
    };

    void fill(bucket& b, state::time_point now) const;
    double part(state::time_point now) const;

    double used_part_;
    mutable state::ranked_mutex mutex_{state::lock_rank::quota};
    double part_ = 0;
    double alone_ = 0;
    state::time_point part_until_{};
    std::unordered_map<state::organisation_id, bucket> buckets_;
    std::map<state::usage_writer, state::consumed_units> others_;
};

} // namespace auburnweir::coordination

#endif
