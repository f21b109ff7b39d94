#include "coordination/write_placement.hpp"

#include "coordination/rendezvous.hpp"

#include <algorithm>
#include <string>

namespace auburnweir::coordination
{

std::optional<state::instance> write_shard_owner(
    state::row_key const& key, std::vector<state::instance> const& live)
{
    auto const shards = (live.size() + instances_per_write_shard - 1) / instances_per_write_shard;
    if (shards == 0)
        return std::nullopt;
    auto const shard = rendezvous_weight("write-shard", key.str()) % shards;
    auto const name = "write-shard-" + std::to_string(shard);
    state::instance const* best = nullptr;
    std::uint64_t best_weight = 0;
    for (auto const& i : live)
    {
        auto const weight = rendezvous_weight(name, i.id.str());
        if (i.leaving || (best && weight <= best_weight))
            continue;
        best = &i;
        best_weight = weight;
    }
    return best ? std::optional{*best} : std::nullopt;
}

} // namespace auburnweir::coordination
