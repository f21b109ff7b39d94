#ifndef AUBURNWEIR_STATE_SERVER_RATING_HPP
#define AUBURNWEIR_STATE_SERVER_RATING_HPP

#include "state/ids.hpp"
#include "state/time.hpp"

#include <optional>
#include <vector>

namespace auburnweir::state
{

/// Percentage of the usual time that work takes on a server's machine; 100 is usual.
using work_factor = quantity<struct work_factor_unit, std::int64_t>;

/// Load that a backend server reported, in requests.
struct server_load
{
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t slots = 0;
    std::optional<work_factor> work{}; ///< null when the server does not report it

    friend bool operator==(server_load const&, server_load const&) = default;
};

/// Times between consecutive events of streams from one server.
struct event_intervals
{
    std::uint64_t count = 0;
    duration total{0};

    friend bool operator==(event_intervals const&, event_intervals const&) = default;
};

/// What one instance has seen of a server since its last report.
struct server_observation
{
    backend_id id;
    incarnation_number incarnation;
    event_intervals intervals;
    std::optional<server_load> load; ///< newest report of the server
    duration load_age{0};

    friend bool operator==(server_observation const&, server_observation const&) = default;
};

using server_observations = std::vector<server_observation>;

/// What all instances together have seen of a server.
struct server_rating
{
    backend_id id;
    incarnation_number incarnation;
    duration event_interval{0}; ///< smoothed; zero: unknown
    std::int64_t load = 0;      ///< running and waiting requests
    duration load_age{0};

    friend bool operator==(server_rating const&, server_rating const&) = default;
};

/// Counts the changes of the holder's ratings. Versions of different holders can't be compared.
using rating_version = quantity<struct rating_version_unit, std::uint64_t>;

/// Ratings that have changed since an older version.
struct rating_update
{
    rating_version version;
    std::vector<server_rating> changed;

    friend bool operator==(rating_update const&, rating_update const&) = default;
};

} // namespace auburnweir::state

#endif
