#ifndef AUBURNWEIR_COORDINATION_IDLE_POOL_HPP
#define AUBURNWEIR_COORDINATION_IDLE_POOL_HPP

#include "state/configuration.hpp"
#include "state/time.hpp"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace auburnweir::coordination
{

/// Number of a connection in a pool.
using idle_connection = state::quantity<struct idle_connection_unit, std::uint64_t>;

struct idle_limits
{
    std::size_t per_endpoint = 64;
    std::size_t total = 1024; ///< over all endpoints
    /// Longest time for which a connection is kept, whatever its server announces.
    state::duration max_idle_time = std::chrono::seconds{60};
};

/// Decides which idle connections are kept for later calls and which are closed.
///
/// Of the connections to an endpoint the one that was used last is taken first, so that the others
/// expire; when there are too many, those that were used least recently are closed. Not
/// thread-safe. Never reads a clock.
class idle_pool
{
public:
    using connections = std::vector<idle_connection>;

    explicit idle_pool(idle_limits limits = {})
        : limits_(limits)
    {
    }

    void set_limits(idle_limits limits) { limits_ = limits; }

    /// Adds a connection that the server keeps open for `usable_for`.
    /// @return connections to close, as there are too many; this one may be among them
    connections add(
        idle_connection connection, state::endpoint const& to, state::time_point now,
        state::duration usable_for);

    /// Removes the connection to an endpoint that was used last; null when there is none.
    std::optional<idle_connection> take(state::endpoint const& to);

    void remove(idle_connection connection);

    /// Removes and returns the connections that have been idle for too long.
    connections remove_expired(state::time_point now);

    /// Removes and returns the connections to endpoints that nothing uses any more.
    connections remove_unless(std::function<bool(state::endpoint const&)> const& is_used);

    /// Removes and returns all connections.
    connections remove_all();

    std::size_t size() const { return by_age_.size(); }

private:
    struct entry
    {
        idle_connection connection;
        state::endpoint to;
        state::time_point expires_at{};
    };

    using entries = std::list<entry>;

    entries::iterator erase(entries::iterator at);

    idle_limits limits_;
    entries by_age_; ///< the least recently used first
    std::map<state::endpoint, std::vector<entries::iterator>> by_endpoint_;
};

} // namespace auburnweir::coordination

#endif
