#ifndef AUBURNWEIR_COORDINATION_REVIEW_CLAIMS_HPP
#define AUBURNWEIR_COORDINATION_REVIEW_CLAIMS_HPP

#include "state/review_record.hpp"

#include <optional>

namespace auburnweir::coordination
{

/// Settings of claims on deferrable requests.
struct review_settings
{
    state::duration lease = std::chrono::seconds{10};
    /// Maximum difference between two wall clocks.
    state::duration clock_bound = std::chrono::seconds{1};
    /// Wait after which a review runs at any load.
    state::duration max_delay = std::chrono::hours{4};
    /// Share of the service's slots in use below which a review runs at once.
    double low_load_threshold = 0.7;
};

/// The claim to write if this instance should run the review now, else null.
///
/// A waiting review is claimed when the load is low or the review has waited for `max_delay`; a
/// claimed one when its lease expired more than `clock_bound` ago.
///
/// @param load  share of the service's slots that are in use
std::optional<state::review_record> next_claim(
    state::review_record const& current, state::instance_id const& self, double load,
    state::wall_time now, review_settings const& settings);

/// The claim with a renewed lease if `self` still holds it at that fencing number, else null.
std::optional<state::review_record> renewed_claim(
    state::review_record const& current, state::instance_id const& self,
    state::fencing_number fencing, state::wall_time now, review_settings const& settings);

/// The finished record if `self` still holds the claim at that fencing number, else null: another
/// holder finishes the review.
std::optional<state::review_record> finished_review(
    state::review_record const& current, state::instance_id const& self,
    state::fencing_number fencing, std::string answer_object);

} // namespace auburnweir::coordination

#endif
