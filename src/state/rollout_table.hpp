#ifndef AUBURNWEIR_STATE_ROLLOUT_TABLE_HPP
#define AUBURNWEIR_STATE_ROLLOUT_TABLE_HPP

#include "state/ids.hpp"
#include "state/lock_rank.hpp"
#include "state/server_table.hpp"

#include <algorithm>
#include <map>

namespace auburnweir::state
{

/// Version moves that the operators ordered.
///
/// Until moves are carried out step by step, a version that is moved to gets no requests while the
/// one before it has servers. Thread-safe; takes `lock_rank::rollouts`.
class rollout_table
{
public:
    /// @return true when the order is news
    bool set_target(service_id const& service, version_id const& target)
    {
        ranked_lock lock(mutex_);
        auto& known = targets_[service];
        bool const news = known != target;
        known = target;
        return news;
    }

    /// Drops servers of the version that the service is moved to, unless there are no others.
    void exclude_target(service_id const& service, std::vector<server_view>& servers) const
    {
        ranked_lock lock(mutex_);
        auto const it = targets_.find(service);
        if (it == targets_.end())
            return;
        auto const is_new = [&](server_view const& v) { return v.listed.version == it->second; };
        if (!std::all_of(servers.begin(), servers.end(), is_new))
            std::erase_if(servers, is_new);
    }

private:
    mutable ranked_mutex mutex_{lock_rank::rollouts};
    std::map<service_id, version_id> targets_;
};

} // namespace auburnweir::state

#endif
