#include "state/server_observation_table.hpp"

namespace auburnweir::state
{

void server_observation_table::set_rated_services(std::set<service_id> services)
{
    ranked_lock lock(mutex_);
    if (services == rated_services_)
        return;
    rated_services_ = std::move(services);
    std::erase_if(
        entries_,
        [this](auto const& item) { return !rated_services_.contains(item.second.service); });
}

server_observation_table::entry* server_observation_table::entry_of(listed_server const& server)
{
    if (!rated_services_.contains(server.service))
        return nullptr;
    auto const found = entries_.find(server.id);
    if (found != entries_.end() && found->second.incarnation > server.incarnation)
        return nullptr;
    if (found == entries_.end() && entries_.size() >= max_servers)
    {
        ++dropped_;
        return nullptr;
    }
    auto& e = entries_[server.id];
    if (found == entries_.end() || e.incarnation != server.incarnation)
        e = {server.service, server.incarnation, {}, {}, {}};
    return &e;
}

void server_observation_table::record_intervals(
    listed_server const& server, event_intervals const& intervals)
{
    ranked_lock lock(mutex_);
    auto* const e = entry_of(server);
    if (!e)
        return;
    e->intervals.count += intervals.count;
    e->intervals.total += intervals.total;
}

void server_observation_table::record_load(
    listed_server const& server, server_load const& load, time_point now)
{
    ranked_lock lock(mutex_);
    auto* const e = entry_of(server);
    if (!e)
        return;
    e->load = load;
    e->load_at = now;
}

server_observations server_observation_table::take(time_point now)
{
    ranked_lock lock(mutex_);
    server_observations result;
    result.reserve(entries_.size());
    for (auto const& [id, e] : entries_)
        result.push_back(
            {id, e.incarnation, e.intervals, e.load, e.load ? now - e.load_at : duration::zero()});
    entries_.clear();
    return result;
}

std::uint64_t server_observation_table::dropped() const
{
    ranked_lock lock(mutex_);
    return dropped_;
}

} // namespace auburnweir::state
