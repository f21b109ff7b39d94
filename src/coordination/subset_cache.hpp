#ifndef AUBURNWEIR_COORDINATION_SUBSET_CACHE_HPP
#define AUBURNWEIR_COORDINATION_SUBSET_CACHE_HPP

#include "state/backend_table.hpp"

#include <unordered_map>
#include <vector>

namespace auburnweir::coordination
{

/// Keeps this instance's subset of each service's backend servers, so that a choice among hundreds
/// costs as much as one among the subset. The subset is chosen anew when the table's members
/// change.
///
/// Thread-safe; takes `lock_rank::subset_cache`, then `lock_rank::backend_table`.
class subset_cache
{
public:
    /// @param size  backend servers of a service to keep
    subset_cache(state::instance_id self, std::size_t size);

    /// Backend servers of the subset that may get new work; all of the service's when none may.
    std::vector<state::backend_view> candidates(
        state::backend_table const& table, state::service_id const& service, state::time_point now);

private:
    struct kept_subset
    {
        std::uint64_t revision = 0;
        std::vector<state::backend_id> ids;
    };

    state::instance_id self_;
    std::size_t size_;
    state::ranked_mutex mutex_{state::lock_rank::subset_cache};
    std::unordered_map<state::service_id, kept_subset> subsets_;
};

} // namespace auburnweir::coordination

#endif
