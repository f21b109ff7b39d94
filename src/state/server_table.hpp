#ifndef AUBURNWEIR_STATE_SERVER_TABLE_HPP
#define AUBURNWEIR_STATE_SERVER_TABLE_HPP

#include "state/configuration.hpp"
#include "state/ids.hpp"
#include "state/lock_rank.hpp"
#include "state/time.hpp"

#include <map>
#include <optional>
#include <vector>

namespace auburnweir::state
{

/// A backend server as the directory lists it.
struct listed_server
{
    backend_id id;
    incarnation_number incarnation;
    service_id service;
    endpoint address;
    failure_domain_id failure_domain;
    version_id version;
    std::int64_t slots = 1;
    bool draining = false;
    bool reclaimable = false;
    duration warm_up_time_left{0}; ///< it is slow for so much longer

    friend bool operator==(listed_server const&, listed_server const&) = default;
};

/// Requests that a backend server said it holds.
struct server_load
{
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t slots = 0;
};

/// How one request at a backend server ended, as far as its health is concerned.
enum class server_outcome : std::uint8_t
{
    answered,
    failed,      ///< an error of the server's own, or a broken answer
    unreachable, ///< no connection, or silence
    refused,     ///< it said that it has not run the request
    abandoned    ///< the caller left or time ran out: says nothing of the server
};

/// What this instance knows of one backend server.
struct server_view
{
    listed_server listed;
    std::int64_t in_flight = 0;      ///< requests of this instance in progress there
    std::optional<server_load> load; ///< last report
    time_point load_at{};
    std::int64_t sent_since_load = 0;
    int failures_in_row = 0;
    int ejections = 0;
    std::optional<time_point> ejected_until;
    time_point first_listed_at{};
    time_point refused_at{};                 ///< last time it was full
    double failure_share = 0;                ///< of recent requests, smoothed
    std::optional<time_point> missing_since; ///< dropped from the list after a store outage
};

/// Backend servers by the directory and by what requests showed.
///
/// A server that was seen leaving stays so for its incarnation, whatever the list says later.
/// Thread-safe; takes `lock_rank::backend_table`.
class server_table
{
public:
    /// What a change did to a server's entry.
    enum class change : std::uint8_t
    {
        none,
        added,
        leaving,
        removed,
        missing
    };

    change apply(listed_server const& listed, time_point now);

    /// The list no longer names the server. @param keep  go on using it until `expire_missing`
    change remove(backend_id const& id, bool keep, time_point now);

    /// Forgets servers that are missing for longer than `grace`. @return their names
    std::vector<backend_id> expire_missing(time_point now, duration grace);

    /// Names of all servers that the list named last.
    std::vector<backend_id> ids() const;

    /// The server itself showed that it leaves. @return true when that is news
    bool mark_leaving(backend_id const& id);

    /// Servers of a service that may get requests.
    std::vector<server_view> routable(service_id const& service, time_point now) const;

    /// All servers of a service, also those that leave.
    std::vector<server_view> all(service_id const& service) const;

    /// All that is known; for reports.
    std::vector<server_view> snapshot() const;

    std::optional<server_view> view(backend_id const& id) const;

    void record_sent(backend_id const& id);
    void record_load(backend_id const& id, server_load report, time_point now);

    /// A request ended. @return the view after it
    std::optional<server_view> record_end(
        backend_id const& id, server_outcome outcome, time_point now);
    void eject(backend_id const& id, time_point until);

private:
    struct entry
    {
        server_view view;
        bool leaving = false;
    };

    mutable ranked_mutex mutex_{lock_rank::backend_table};
    std::map<backend_id, entry> entries_;
};

} // namespace auburnweir::state

#endif
