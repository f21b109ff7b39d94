#include "state/instance_table.hpp"

namespace auburnweir::state
{

instance_changes instance_table::apply(std::vector<instance> const& list)
{
    instance_changes changes;
    ranked_lock lock(mutex_);
    std::map<instance_id, instance> next;
    for (auto heard : list)
    {
        auto const known = instances_.find(heard.id);
        bool const same =
            known != instances_.end() && known->second.incarnation == heard.incarnation;
        if (known != instances_.end() && heard.incarnation < known->second.incarnation)
            heard = known->second;
        if (same && known->second.leaving)
            heard.leaving = true;
        if (!same)
            changes.appeared.push_back(heard);
        if (heard.leaving && !(same && known->second.leaving))
            changes.leaving.push_back(heard);
        next[heard.id] = heard;
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
