#ifndef AUBURNWEIR_COORDINATION_BACKEND_SUBSET_HPP
#define AUBURNWEIR_COORDINATION_BACKEND_SUBSET_HPP

#include "state/backend_table.hpp"

#include <vector>

namespace auburnweir::coordination
{

/// Reduces a service's backend servers to those that this instance uses.
///
/// Deterministic by rendezvous hashing, and spread evenly over the failure domains, so that the
/// loss of one domain leaves each instance with the others. With at most `size` candidates all
/// are kept.
/// @param size  most backend servers to keep
std::vector<state::backend_view> backend_subset(
    state::instance_id const& self, std::vector<state::backend_view> candidates, std::size_t size);

} // namespace auburnweir::coordination

#endif
