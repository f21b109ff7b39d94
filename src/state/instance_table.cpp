#include "state/instance_table.hpp"

namespace auburnweir::state
{

instance_changes instance_table::apply(std::vector<instance> const& list)
{
    instance_changes changes;
    ranked_lock lock(mutex_);
    std::map<instance_id, instance> next;
    for (auto listed : list)
    {
        auto const previous = instances_.find(listed.id);
        bool const same =
            previous != instances_.end() && previous->second.incarnation == listed.incarnation;
        if (previous != instances_.end() && listed.incarnation < previous->second.incarnation)
            listed = previous->second;
        if (same && previous->second.leaving)
            listed.leaving = true;
        if (!same)
            changes.appeared.push_back(listed);
        if (listed.leaving && !(same && previous->second.leaving))
            changes.leaving.push_back(listed);
        next[listed.id] = listed;
    }
    for (auto const& [id, i] : instances_)
        if (!next.contains(id))
            changes.gone.push_back(i);
    instances_ = std::move(next);
    return changes;
}

bool instance_table::mark_leaving(instance_id const& id)
{
    ranked_lock lock(mutex_);
    auto const it = instances_.find(id);
    if (it == instances_.end() || it->second.leaving)
        return false;
    it->second.leaving = true;
    return true;
}

std::vector<instance> instance_table::live() const
{
    std::vector<instance> all;
    ranked_lock lock(mutex_);
    for (auto const& [id, i] : instances_)
        all.push_back(i);
    return all;
}

std::optional<instance> instance_table::find(instance_id const& id) const
{
    ranked_lock lock(mutex_);
    auto const it = instances_.find(id);
    return it == instances_.end() ? std::nullopt : std::optional{it->second};
}

} // namespace auburnweir::state
