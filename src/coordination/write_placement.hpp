#ifndef AUBURNWEIR_COORDINATION_WRITE_PLACEMENT_HPP
#define AUBURNWEIR_COORDINATION_WRITE_PLACEMENT_HPP

#include "state/instance.hpp"
#include "state/table_write.hpp"

#include <optional>
#include <vector>

namespace auburnweir::coordination
{

/// Entry instances for one that gathers ledger writes.
constexpr std::size_t instances_per_write_shard = 64;

/// The instance that gathers the writes of a row, of the same list everywhere; null without any.
std::optional<state::instance> write_shard_owner(
    state::row_key const& key, std::vector<state::instance> const& live);

} // namespace auburnweir::coordination

#endif
