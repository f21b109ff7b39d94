#ifndef AUBURNWEIR_COORDINATION_WRITE_PLACEMENT_HPP
#define AUBURNWEIR_COORDINATION_WRITE_PLACEMENT_HPP

#include "state/instance.hpp"
#include "state/table_write.hpp"

#include <optional>
#include <vector>

namespace auburnweir::coordination
{

/// Number of entry instances per write shard; each write shard has one owner.
constexpr std::size_t instances_per_write_shard = 64;

/// The instance that owns the write shard of a row and writes its group commits. All instances
/// compute the same one from the same list; null when there is none or all are leaving.
std::optional<state::instance> write_shard_owner(
    state::row_key const& key, std::vector<state::instance> const& live);

} // namespace auburnweir::coordination

#endif
