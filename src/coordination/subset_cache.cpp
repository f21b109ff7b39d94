#include "coordination/subset_cache.hpp"

#include "coordination/backend_subset.hpp"

namespace auburnweir::coordination
{

subset_cache::subset_cache(state::instance_id self, std::size_t size)
    : self_(std::move(self))
    , size_(size)
{
}

std::vector<state::backend_view> subset_cache::candidates(
    state::backend_table const& table, state::service_id const& service, state::time_point now)
{
    std::vector<state::backend_view> found;
    {
        state::ranked_lock lock(mutex_);
        auto& cached = subsets_[service];
        auto const revision = table.revision();
        if (cached.revision != revision)
        {
            cached.ids.clear();
            for (auto const& view : backend_subset(self_, table.not_leaving(service), size_))
                cached.ids.push_back(view.id);
            cached.revision = revision;
        }
        found = table.routable(cached.ids, now);
    }
    return found.empty() ? table.routable(service, now) : found;
}

} // namespace auburnweir::coordination
