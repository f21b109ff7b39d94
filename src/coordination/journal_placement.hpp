#ifndef AUBURNWEIR_COORDINATION_JOURNAL_PLACEMENT_HPP
#define AUBURNWEIR_COORDINATION_JOURNAL_PLACEMENT_HPP

#include "state/instance.hpp"

#include <vector>

namespace auburnweir::coordination
{

/// Instances that may hold the replica of a request's journal, in order of preference.
///
/// All are in other failure domains than the owner; those of the owner's region come first.
/// Leaving instances are left out. All instances compute the same order from the same list.
std::vector<state::instance> replica_order(
    state::request_id const& request, state::instance const& owner,
    std::vector<state::instance> const& live);

/// Instances to ask for the journal of a request whose owner is not known, most likely first.
///
/// @param per_domain  maximum number of instances of one failure domain
std::vector<state::instance> lookup_order(
    state::request_id const& request, std::vector<state::instance> const& live,
    std::size_t per_domain = 2);

} // namespace auburnweir::coordination

#endif
