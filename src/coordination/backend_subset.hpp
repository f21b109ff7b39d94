#ifndef AUBURNWEIR_COORDINATION_BACKEND_SUBSET_HPP
#define AUBURNWEIR_COORDINATION_BACKEND_SUBSET_HPP

#include "state/backend_table.hpp"

#include <vector>

namespace auburnweir::coordination
{

/// Selects the backend servers of a service that this instance uses.
///
/// The selection is deterministic by rendezvous hashing and spread evenly over the failure domains,
/// so that an instance keeps backend servers when a domain is lost. With at most `size` candidates
/// all are selected.
/// @param size  maximum number of backend servers to select
std::vector<state::backend_view> backend_subset(
    state::instance_id const& self, std::vector<state::backend_view> candidates, std::size_t size);

} // namespace auburnweir::coordination

#endif
