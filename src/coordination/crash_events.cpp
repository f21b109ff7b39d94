#include "coordination/crash_events.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{

constexpr std::size_t max_ends = 64;

/// Share of an event's servers that had the segment, from which on each of them counts: another
/// server may end at the same moment.
constexpr double min_share_of_event = 0.75;

} // namespace

std::optional<state::server_process_hash> crash_events::record(
    state::server_process_hash server, state::time_point at, state::time_point now)
{
    if (!ends_.emplace(server, server_end{at, now}).second)
        return std::nullopt;
    std::optional<state::server_process_hash> forgotten;
    if (ends_.size() > max_ends)
    {
        auto const oldest =
            std::ranges::min_element(ends_, {}, [](auto const& entry) { return entry.second.at; });
        forgotten = oldest->first;
        ends_.erase(oldest);
        ++dropped_;
    }
    group();
    return forgotten;
}

std::optional<state::time_point> crash_events::ended_at(state::server_process_hash server) const
{
    auto const found = ends_.find(server);
    if (found == ends_.end())
        return std::nullopt;
    return found->second.at;
}

std::optional<state::time_point> crash_events::recorded_at(state::server_process_hash server) const
{
    auto const found = ends_.find(server);
    if (found == ends_.end())
        return std::nullopt;
    return found->second.recorded_at;
}

crash_weight crash_events::weight_of(crashed_servers const& servers) const
{
    std::map<std::size_t, std::size_t> servers_by_event;
    for (auto const& server : servers)
        if (auto const found = ends_.find(server); found != ends_.end())
            ++servers_by_event[found->second.event];
    crash_weight weight;
    for (auto const& [event, ended] : servers_by_event)
    {
        ++weight.events;
        bool const had_most = min_share_of_event * static_cast<double>(event_sizes_[event]) <=
                              static_cast<double>(ended);
        weight.servers += had_most ? ended : 1;
    }
    return weight;
}

std::vector<state::server_process_hash> crash_events::remove_expired(state::time_point now)
{
    std::vector<state::server_process_hash> forgotten;
    for (auto const& [server, end] : ends_)
        if (now - end.at > settings_.memory)
            forgotten.push_back(server);
    for (auto const& server : forgotten)
        ends_.erase(server);
    if (!forgotten.empty())
        group();
    return forgotten;
}

void crash_events::group()
{
    std::vector<server_end*> in_order;
    in_order.reserve(ends_.size());
    for (auto& [server, end] : ends_)
        in_order.push_back(&end);
    std::ranges::sort(in_order, {}, &server_end::at);
    event_sizes_.clear();
    std::optional<state::time_point> began_at;
    for (auto* end : in_order)
    {
        if (!began_at || end->at - *began_at >= settings_.grouping_time)
        {
            began_at = end->at;
            event_sizes_.push_back(0);
        }
        end->event = event_sizes_.size() - 1;
        ++event_sizes_.back();
    }
}

} // namespace auburnweir::coordination
