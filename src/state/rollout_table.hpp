#ifndef AUBURNWEIR_STATE_ROLLOUT_TABLE_HPP
#define AUBURNWEIR_STATE_ROLLOUT_TABLE_HPP

#include "state/ids.hpp"
#include "state/lock_rank.hpp"
#include "state/server_table.hpp"

#include <algorithm>
#include <map>

namespace auburnweir::state
{

/// Target versions of the rollouts that the operators ordered.
///
/// Rollouts are not carried out gradually yet: the target version gets no requests while the
/// service has servers of another version. Thread-safe; takes `lock_rank::rollouts`.
class rollout_table
{
public:
    /// @return true when the target differs from the one before
    bool set_target(service_id const& service, version_id const& target)
    {
        ranked_lock lock(mutex_);
        auto& current = targets_[service];
        bool const changed = current != target;
        current = target;
        return changed;
    }

    /// Whether a rollout of the service was ordered.
    bool has_target(service_id const& service) const
    {
        ranked_lock lock(mutex_);
        return targets_.contains(service);
    }

    /// Removes servers of the service's target version, unless all servers have it.
    void exclude_target(service_id const& service, std::vector<server_view>& servers) const
    {
        ranked_lock lock(mutex_);
        auto const it = targets_.find(service);
        if (it == targets_.end())
            return;
        auto const has_target_version = [&](server_view const& v)
        { return v.listed.version == it->second; };
        if (!std::all_of(servers.begin(), servers.end(), has_target_version))
            std::erase_if(servers, has_target_version);
    }

private:
    mutable ranked_mutex mutex_{lock_rank::rollouts};
    std::map<service_id, version_id> targets_;
};

} // namespace auburnweir::state

#endif
