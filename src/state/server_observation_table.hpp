#ifndef AUBURNWEIR_STATE_SERVER_OBSERVATION_TABLE_HPP
#define AUBURNWEIR_STATE_SERVER_OBSERVATION_TABLE_HPP

#include "state/lock_rank.hpp"
#include "state/server_rating.hpp"
#include "state/server_table.hpp"

#include <map>
#include <optional>
#include <set>

namespace auburnweir::state
{

/// What this instance has seen of its backend servers since its last report. Only servers of the
/// rated services are recorded.
///
/// Bounded. Thread-safe; takes `lock_rank::server_ratings`. Never reads a clock.
class server_observation_table
{
public:
    /// Servers that are recorded between two reports; a deployment has fewer.
    static constexpr std::size_t max_servers = 1024;

    /// Sets the services whose servers are recorded. Removes what was seen of other servers.
    void set_rated_services(std::set<service_id> services);

    void record_intervals(listed_server const& server, event_intervals const& intervals);
    void record_load(listed_server const& server, server_load const& load, time_point now);

    /// Removes and returns everything that was recorded since the last call.
    server_observations take(time_point now);

    /// Number of observations that were not recorded, as there were too many servers.
    std::uint64_t dropped() const;

private:
    struct entry
    {
        service_id service;
        incarnation_number incarnation;
        event_intervals intervals;
        std::optional<server_load> load;
        time_point load_at{};
    };

    /// @return null when the server is not to be recorded
    entry* entry_of(listed_server const& server);

    mutable ranked_mutex mutex_{lock_rank::server_ratings};
    std::set<service_id> rated_services_;
    std::map<backend_id, entry> entries_;
    std::uint64_t dropped_ = 0;
};

} // namespace auburnweir::state

#endif
