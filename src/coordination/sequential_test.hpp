#ifndef AUBURNWEIR_COORDINATION_SEQUENTIAL_TEST_HPP
#define AUBURNWEIR_COORDINATION_SEQUENTIAL_TEST_HPP

#include <cstdint>

namespace auburnweir::coordination
{

/// Events among trials, such as failures among requests.
struct trial_counts
{
    std::uint64_t trials = 0;
    std::uint64_t events = 0;
};

/// Logarithm of the evidence that events are more frequent than `base_rate`.
///
/// A mixture of likelihood ratios against several higher rates. Under the base rate it exceeds
/// log(1/a) at any time with probability at most a (Ville's inequality), so it may be evaluated
/// after every request.
double log_evidence_above(trial_counts const& observed, double base_rate);

/// Upper bound of the event rate that the counts estimate, at 3.5 standard deviations.
double rate_upper_bound(trial_counts const& reference);

} // namespace auburnweir::coordination

#endif
