#ifndef AUBURNWEIR_COORDINATION_SUBSET_CACHE_HPP
#define AUBURNWEIR_COORDINATION_SUBSET_CACHE_HPP

#include "state/backend_table.hpp"

#include <unordered_map>
#include <vector>

namespace auburnweir::coordination
{

/// Caches this instance's subset of each service's backend servers, so that a choice among hundreds
/// costs as much as one among the subset. The subset is selected again when the table's members
/// change.
///
/// Thread-safe; takes `lock_rank::subset_cache`, then `lock_rank::backend_table`.
class subset_cache
{
public:
    /// @param size  number of backend servers in a service's subset
    subset_cache(state::instance_id self, std::size_t size);

    /// Routable backend servers of the subset; all routable ones of the service when there are
    /// none.
    std::vector<state::backend_view> candidates(
        state::backend_table const& table, state::service_id const& service, state::time_point now);

private:
    struct cached_subset
    {
        std::uint64_t revision = 0;
        std::vector<state::backend_id> ids;
    };

    state::instance_id self_;
    std::size_t size_;
    state::ranked_mutex mutex_{state::lock_rank::subset_cache};
    std::unordered_map<state::service_id, cached_subset> subsets_;
};

} // namespace auburnweir::coordination

#endif
