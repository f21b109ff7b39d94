#include "coordination/idle_pool.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

idle_pool::connections idle_pool::add(
    idle_connection connection, state::endpoint const& to, state::time_point now,
    state::duration usable_for)
{
    connections closed;
    auto const known = by_endpoint_.find(to);
    if (known != by_endpoint_.end() && known->second.size() >= limits_.per_endpoint)
    {
        closed.push_back(known->second.front()->connection);
        erase(known->second.front());
    }
    else if (by_age_.size() >= limits_.total && !by_age_.empty())
    {
        closed.push_back(by_age_.front().connection);
        erase(by_age_.begin());
    }
    auto const expires_at = now + std::min(usable_for, limits_.max_idle_time);
    by_age_.push_back({connection, to, expires_at});
    by_endpoint_[to].push_back(std::prev(by_age_.end()));
    return closed;
}

std::optional<idle_connection> idle_pool::take(state::endpoint const& to)
{
    auto const known = by_endpoint_.find(to);
    if (known == by_endpoint_.end())
        return std::nullopt;
    auto const newest = known->second.back();
    auto const connection = newest->connection;
    erase(newest);
    return connection;
}

void idle_pool::remove(idle_connection connection)
{
    auto const found = std::ranges::find(by_age_, connection, &entry::connection);
    if (found != by_age_.end())
        erase(found);
}

idle_pool::connections idle_pool::remove_expired(state::time_point now)
{
    connections removed;
    for (auto it = by_age_.begin(); it != by_age_.end();)
    {
        if (now < it->expires_at)
        {
            ++it;
            continue;
        }
        removed.push_back(it->connection);
        it = erase(it);
    }
    return removed;
}

idle_pool::connections idle_pool::remove_unless(
    std::function<bool(state::endpoint const&)> const& is_used)
{
    std::vector<state::endpoint> unused;
    for (auto const& [to, kept] : by_endpoint_)
        if (!is_used(to))
            unused.push_back(to);
    connections removed;
    for (auto const& to : unused)
        while (auto const connection = take(to))
            removed.push_back(*connection);
    return removed;
}

idle_pool::connections idle_pool::remove_all()
{
    connections removed;
    removed.reserve(by_age_.size());
    for (auto const& e : by_age_)
        removed.push_back(e.connection);
    by_endpoint_.clear();
    by_age_.clear();
    return removed;
}

idle_pool::entries::iterator idle_pool::erase(entries::iterator at)
{
    auto const known = by_endpoint_.find(at->to);
    std::erase(known->second, at);
    if (known->second.empty())
        by_endpoint_.erase(known);
    return by_age_.erase(at);
}

} // namespace auburnweir::coordination
