#ifndef AUBURNWEIR_COORDINATION_SERVICE_REACH_HPP
#define AUBURNWEIR_COORDINATION_SERVICE_REACH_HPP

#include "state/ids.hpp"
#include "state/lock_rank.hpp"
#include "state/time.hpp"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace auburnweir::coordination
{

/// How an attempt to use the link to a server failed.
enum class link_failure : std::uint8_t
{
    connect_failed, ///< no new connection
    lost,           ///< an open connection broke off
    unacknowledged  ///< the host acknowledges nothing on an open connection
};

/// Servers of a service to which new connections are tried.
struct reach_probe
{
    state::service_id service;
    /// Those to which links have failed; others tell more.
    std::set<state::backend_id> failed;
    std::size_t max_servers = 1;
};

/// Servers of the service accept connections from here, as far as is known.
struct service_reachable
{
};

/// Links to several servers have failed; new connections to others are tried.
struct service_suspected
{
    state::time_point since{};
    bool probe_is_running = false;
    bool is_confirming = false; ///< a first probe has failed; one of many more servers follows
};

/// No server that was tried accepts a connection from here.
struct service_unreachable
{
    state::time_point since{};
    state::time_point next_probe_at{};
};

/// Change of a service's reach that a probe has shown.
enum class reach_change : std::uint8_t
{
    none,
    lost,
    regained
};

/// What is known of the link to a server that broke off a request.
enum class link_verdict : std::uint8_t
{
    unknown,
    sound, ///< others of the service are reached, so the server itself has failed
    cut    ///< no server of the service is reached
};

/// Which services this instance reaches, from the failures of its links to their servers.
///
/// Only new connections decide: while they fail, connections that were open before may live on.
/// Thread-safe; takes `lock_rank::service_reach`. Never reads a clock.
class service_reach
{
public:
    /// Records a response of a server.
    /// @param is_new_connection  the response is the first one on its connection
    void record_contact(
        state::service_id const& service, state::backend_id const& server, bool is_new_connection,
        state::time_point now);

    /// @param servers  number of servers of the service
    void record_failure(
        state::service_id const& service, state::backend_id const& server, link_failure failure,
        std::size_t servers, state::time_point now);

    /// Probes that are due; each is running until its result is recorded.
    std::vector<reach_probe> take_due_probes(state::time_point now);

    /// @param connected  whether any server accepted a connection
    /// @param tried      the servers to which one was tried
    reach_change record_probe(
        state::service_id const& service, bool connected, std::set<state::backend_id> const& tried,
        state::time_point now);

    bool is_unreachable(state::service_id const& service) const;

    /// Whether a server of the service may be tried directly: the service is reached, or the server
    /// was listed after it was lost and was not tried yet.
    bool may_reach(state::service_id const& service, state::time_point first_listed_at) const;

    /// Services of which no server is reached, with the time since when.
    std::map<state::service_id, state::time_point> unreachable() const;

    /// What is known of the link to a server that broke off a request at `lost_at`. When that is
    /// nothing, a probe becomes due.
    link_verdict link_to(
        state::service_id const& service, state::backend_id const& server,
        state::time_point lost_at, state::time_point now);

private:
    struct contact
    {
        state::backend_id server;
        state::time_point at{};
    };

    struct entry
    {
        std::variant<service_reachable, service_suspected, service_unreachable> state;
        std::set<state::backend_id> unconnected; ///< since the last new connection
        std::set<state::backend_id> lost;        ///< since the last response
        contact last;
        contact last_of_other; ///< the last one of another server than `last`
        std::optional<state::time_point> connected_at; ///< end of the last successful probe
        std::optional<state::time_point> regained_at;
        std::optional<state::time_point> probed_at;
    };

    static void suspect(entry& e, state::time_point now);

    /// A cut mostly affects the links to all services, and one with few requests would show it
    /// late.
    void suspect_others(state::service_id const& service, state::time_point now);

    mutable state::ranked_mutex mutex_{state::lock_rank::service_reach};
    std::map<state::service_id, entry> entries_;
};

} // namespace auburnweir::coordination

#endif
