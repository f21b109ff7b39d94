#ifndef AUBURNWEIR_COORDINATION_REVIEW_CLAIMS_HPP
#define AUBURNWEIR_COORDINATION_REVIEW_CLAIMS_HPP

#include "state/review_record.hpp"

#include <optional>

namespace auburnweir::coordination
{

/// Bounds of claims on deferrable requests.
struct review_settings
{
    state::duration lease = std::chrono::seconds{10};
    state::duration clock_bound = std::chrono::seconds{1}; ///< most that two wall clocks differ
    state::duration longest_delay = std::chrono::hours{4}; ///< runs by then at any load
    double cheap_load = 0.7; ///< share of the service's slots in use below which it runs at once
};

/// The claim to write if this instance should run the review now, else null.
///
/// A waiting review is taken when load is low or it is old enough; a claimed one when the lease
/// is over by more than the clock bound.
std::optional<state::review_record> next_claim(
    state::review_record const& current, state::instance_id const& self, double load,
    state::wall_time now, review_settings const& settings);

/// The claim with a later end if `self` still holds it at that fencing number, else null.
std::optional<state::review_record> renewed_claim(
    state::review_record const& current, state::instance_id const& self,
    state::fencing_number fencing, state::wall_time now, review_settings const& settings);

/// The finished record if the claim is still ours, else null: another holder finishes it.
std::optional<state::review_record> finished_review(
    state::review_record const& current, state::instance_id const& self,
    state::fencing_number fencing, std::string answer_object);

} // namespace auburnweir::coordination

#endif
