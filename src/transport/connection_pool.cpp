#include "transport/connection_pool.hpp"

#include "transport/http_connection.hpp"

#include <poll.h>

namespace auburnweir::transport
{

http_connection_ptr connection_pool::take(
    state::endpoint const& to, state::duration max_idle_time, state::request_id const& request)
{
    while (auto const number = idle_.take(to))
    {
        auto const found = connections_.find(*number);
        auto c = std::move(found->second);
        connections_.erase(found);
        auto const idle = now() - c->idle_since;
        bool const is_usable = idle <= max_idle_time && idle <= c->max_idle_time;
        if (is_usable && !c->refused.contains(request) && !c->is_stale())
            return c;
    }
    return nullptr;
}

void connection_pool::store(http_connection_ptr c)
{
    c->idle_since = now();
    last_ += coordination::idle_connection{1};
    closed_.evicted += close(idle_.add(last_, c->address, c->idle_since, c->max_idle_time));
    connections_.emplace(last_, std::move(c));
}

std::uint64_t connection_pool::close(coordination::idle_pool::connections const& removed)
{
    for (auto const& number : removed)
        connections_.erase(number);
    return removed.size();
}

void connection_pool::close_useless(std::function<bool(state::endpoint const&)> const& is_used)
{
    closed_.unused += close(idle_.remove_unless(is_used));
    closed_.expired += close(idle_.remove_expired(now()));
    close_ended_connections();
}

void connection_pool::close_all()
{
    closed_.evicted += close(idle_.remove_all());
}

void connection_pool::close_ended_connections()
{
    std::vector<pollfd> sockets;
    std::vector<coordination::idle_connection> numbers;
    sockets.reserve(connections_.size());
    numbers.reserve(connections_.size());
    for (auto const& [number, c] : connections_)
    {
        sockets.push_back({c->stream.socket().native_handle(), POLLIN, 0});
        numbers.push_back(number);
    }
    if (sockets.empty() || ::poll(sockets.data(), sockets.size(), 0) <= 0)
        return;
    for (std::size_t i = 0; i < sockets.size(); ++i)
    {
        if (sockets[i].revents == 0)
            continue;
        idle_.remove(numbers[i]);
        closed_.ended += close({numbers[i]});
    }
}

} // namespace auburnweir::transport
