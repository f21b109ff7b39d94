#ifndef AUBURNWEIR_COORDINATION_STORE_PACING_HPP
#define AUBURNWEIR_COORDINATION_STORE_PACING_HPP

#include "state/time.hpp"

#include <cstdint>

namespace auburnweir::coordination
{

/// Interval in which each instance makes one kind of call to the platform's store while no holder
/// of the duties answers for it.
///
/// The interval grows with the number of instances, so that the calls of all of them stay below a
/// fixed rate.
/// @param shortest  used as long as the instances are few
/// @param longest  limit that the purpose of the calls sets, whatever the number of instances
state::duration paced_interval(
    state::duration shortest, state::duration longest, std::uint64_t instance_count);

} // namespace auburnweir::coordination

#endif
