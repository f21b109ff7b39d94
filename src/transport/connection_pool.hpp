#ifndef AUBURNWEIR_TRANSPORT_CONNECTION_POOL_HPP
#define AUBURNWEIR_TRANSPORT_CONNECTION_POOL_HPP

#include "coordination/idle_pool.hpp"

#include <memory>
#include <utility>

namespace auburnweir::transport
{

struct http_connection;
using http_connection_ptr = std::shared_ptr<http_connection>;

/// Idle connections that were closed, by reason.
struct closed_connections
{
    std::uint64_t expired = 0; ///< idle for too long
    std::uint64_t evicted = 0; ///< too many, or their descriptors were needed
    std::uint64_t unused = 0;  ///< nothing calls their endpoint any more
    std::uint64_t ended = 0;   ///< by the server
};

/// Idle connections of one worker's HTTP client. Not thread-safe.
class connection_pool
{
public:
    void set_limits(coordination::idle_limits limits) { idle_.set_limits(limits); }

    /// Takes the connection to an endpoint that was used last; null when none can be used.
    /// @param max_idle_time  connections that were idle for longer are not used
    /// @param request        nor are those on which it was refused; empty: has no name
    http_connection_ptr take(
        auburnweir::state::endpoint const& to, auburnweir::state::duration max_idle_time,
        auburnweir::state::request_id const& request);

    void store(http_connection_ptr c);

    /// Closes the connections that no call will use.
    /// @param is_used  whether calls to an endpoint may come
    void close_useless(std::function<bool(auburnweir::state::endpoint const&)> const& is_used);

    /// Closes all connections, to get their descriptors.
    void close_all();

    std::size_t size() const { return connections_.size(); }

    /// Connections that were closed since the last call.
    closed_connections take_closed() { return std::exchange(closed_, {}); }

private:
    /// Closes connections that are no longer in `idle_`. @return their number
    std::uint64_t close(coordination::idle_pool::connections const& removed);
    void close_ended_connections();

    coordination::idle_pool idle_;
    std::map<coordination::idle_connection, http_connection_ptr> connections_; ///< those in `idle_`
    coordination::idle_connection last_;
    closed_connections closed_;
};

} // namespace auburnweir::transport

#endif
