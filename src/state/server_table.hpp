#ifndef AUBURNWEIR_STATE_SERVER_TABLE_HPP
#define AUBURNWEIR_STATE_SERVER_TABLE_HPP

#include "state/cold_limit.hpp"
#include "state/configuration.hpp"
#include "state/ids.hpp"
#include "state/lock_rank.hpp"
#include "state/placement_rule.hpp"
#include "state/send_limit.hpp"
#include "state/server_pool.hpp"
#include "state/server_rating.hpp"
#include "state/time.hpp"

#include <map>
#include <optional>
#include <set>
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
    /// For which the server stays cold, left at the time of the listing; null: not stated.
    std::optional<duration> cold_for;

    friend bool operator==(listed_server const&, listed_server const&) = default;
};

/// What the reader of the directory knows beside a server's row.
struct listing_context
{
    bool is_first_reading = false;      ///< the first of this process: its servers are not new
    std::optional<duration> server_age; ///< since the server's start; null: unknown
};

/// How one request at a backend server ended, for the server's health.
enum class server_outcome : std::uint8_t
{
    answered,
    failed,      ///< the server's own error, or a broken response
    unreachable, ///< no connection, or no response
    refused,     ///< the server stated that it did not run the request
    abandoned    ///< the caller left or time ran out; the server's health is unknown
};

/// Run-time state of one backend server as this instance sees it.
struct server_view
{
    listed_server listed;
    std::int64_t in_flight = 0;      ///< requests of this instance that have not ended
    std::optional<server_load> load; ///< last report
    time_point load_at{};
    std::int64_t sent_since_load = 0;
    int failures_in_row = 0;
    int ejections = 0;
    std::optional<time_point> ejected_until;
    int connect_failures = 0;                    ///< in a row, without a response in between
    std::optional<time_point> unconnected_until; ///< no connection is tried while others are left
    time_point first_listed_at{};
    int refusals_in_row = 0; ///< without an answer in between; those at the same time count once
    time_point refused_at{}; ///< when the server last refused a request
    time_point full_until{}; ///< others are preferred until then, as the server refused a request
    /// Until then others are preferred for requests whose refusal could not be followed by a retry.
    time_point doubted_until{};
    std::optional<time_point> unnamed_refusal_at; ///< when a refusal last named no request
    double failure_share = 0;                     ///< of recent requests, exponentially smoothed
    /// Set for a server that is no longer listed after a store outage: until when it is used.
    std::optional<time_point> missing_until;
    std::optional<send_limit> limit;      ///< that the server's last answer named
    time_point refusing_until{};          ///< until when the server wants nothing from here
    std::optional<time_point> cold_until; ///< null: not cold
    std::optional<server_rating> rating;  ///< by all instances, or by this one alone
    time_point rated_at{};

    bool is_avoided(time_point now) const
    {
        return (ejected_until && *ejected_until > now) ||
               (unconnected_until && *unconnected_until > now);
    }

    bool refused_recently(time_point now) const { return now <= full_until; }

    /// Whether its last response was a refusal, not long ago: the next one may be another.
    bool may_refuse_again(time_point now) const
    {
        return refusals_in_row > 0 && now <= doubted_until;
    }

    bool is_cold(time_point now) const { return cold_until && *cold_until > now; }
};

/// A server that takes nothing from this instance for some time.
struct closed_server
{
    backend_id id;
    time_point until{};
};

/// Servers of a service that are not leaving.
struct server_pool
{
    std::vector<server_view> open;
    std::vector<closed_server> closed;
    std::size_t barred = 0; ///< number of servers that the request may not be sent to
};

/// Backend servers of the directory, with the results of this instance's requests to them.
///
/// A server that was marked as leaving stays leaving for its incarnation, whatever the directory
/// lists later.
/// Thread-safe; takes `lock_rank::backend_table`.
class server_table
{
public:
    /// Effect of a call on a server's entry.
    enum class change : std::uint8_t
    {
        none,
        added,
        leaving,
        removed,
        missing
    };

    /// Adds or updates a server that the directory lists.
    change apply(listed_server const& listed, time_point now, listing_context const& context = {});

    /// Handles a server that the directory no longer lists.
    /// @param keep_until  use the server as missing until then, unless it is leaving; null: not at
    ///                    all
    change remove(backend_id const& id, std::optional<time_point> keep_until);

    /// Removes servers that are missing and no longer used. @return their ids
    std::vector<backend_id> expire_missing(time_point now);

    /// Ids of all servers, missing ones included.
    std::vector<backend_id> ids() const;

    /// Marks a server as leaving that says so in an answer. No listing of this incarnation takes it
    /// back, also after the server was removed.
    /// @return true when it was not marked before
    bool mark_leaving(backend_id const& id, incarnation_number incarnation, time_point now);

    /// Whether this incarnation has said that it leaves, in an answer or in the directory.
    bool is_leaving(backend_id const& id, incarnation_number incarnation) const;

    /// Number of departures that were forgotten, as there were too many.
    std::uint64_t dropped_departures() const;

    /// Servers of a service to which a request may be sent, by their availability; of the open
    /// ones, the avoided ones only when there is no other.
    server_pool pool(
        service_id const& service, time_point now, placement_rule const& rule = any_domain{}) const;

    /// All servers of a service, leaving ones included.
    std::vector<server_view> all(service_id const& service) const;

    /// Addresses of all servers, also of those that are leaving or missing.
    std::set<endpoint> addresses() const;

    /// All servers, for status output.
    std::vector<server_view> snapshot() const;

    std::optional<server_view> view(backend_id const& id) const;

    /// Records that a refusal of the server named no request.
    void record_unnamed_refusal(backend_id const& id, time_point now);

    /// Records the rate that an answer of this incarnation named; null: none.
    /// @return whether it differs from the last one
    bool record_limit(
        backend_id const& id, incarnation_number incarnation, std::optional<request_rate> rate,
        time_point now);

    /// Records that a server of this incarnation wants nothing from this instance before a time. An
    /// earlier end never shortens a later one.
    void record_refusing(backend_id const& id, incarnation_number incarnation, time_point until);

    /// Whether any server names a limit.
    bool has_limits() const;

    /// Sets this instance's shares of the servers' limits.
    void set_send_shares(send_shares shares);

    /// Sets which services have cold servers and how instances share them.
    void set_cold_policy(cold_policy policy, time_point now);

    /// Sets this instance's rank, which decides what cold servers it owns.
    void set_rank(instance_rank rank, time_point now);

    /// Records for how long a server of this incarnation says that it stays cold; 0: it is warm.
    /// @return whether it was cold before and now is not, or the reverse
    bool record_cold(
        backend_id const& id, incarnation_number incarnation, duration cold_for, time_point now);

    /// Records that a failure domain is used again. Its servers may have become cold while nothing
    /// was sent to them, so they count as cold for the time of their service.
    void record_return(failure_domain_id const& domain, time_point now);

    cold_summary summarise_cold(time_point now) const;

    /// Sets the failure domains whose servers get no requests.
    void set_evacuated(std::set<failure_domain_id> domains);

    /// Sets ratings by the holder of the duties. Those of another incarnation are ignored.
    void apply_ratings(std::vector<server_rating> const& ratings, time_point now);

    /// Records that the holder's ratings that were applied after `since` hold now: it sends only
    /// those that change. A rating that it has not sent for `max_confirmed_time` is left to age.
    void confirm_ratings(time_point since, time_point now);

    /// Sets ratings by this instance alone, of servers without a rating by the holder that is newer
    /// than `max_rating_age`. Those of another incarnation are ignored.
    void apply_own_ratings(std::vector<server_rating> const& ratings, time_point now);

    /// Incarnations of all servers, missing ones included.
    std::map<backend_id, incarnation_number> incarnations() const;

    static constexpr duration max_rating_age = std::chrono::seconds{10};

    /// Twice the period in which the holder sends each rating again.
    static constexpr duration max_confirmed_time = std::chrono::seconds{60};

    /// Counts a request that is sent to a server.
    /// @return false when the server is no longer open; the request must not be sent
    bool try_send(backend_id const& id, time_point now, placement_rule const& rule = any_domain{});
    void record_load(backend_id const& id, server_load report, time_point now);

    /// Records the end of a request. @return the server's view after it
    std::optional<server_view> record_end(
        backend_id const& id, server_outcome outcome, time_point now);
    void eject(backend_id const& id, time_point until);

    /// Records that a server accepts no connection from here, or acknowledges nothing on one. It is
    /// avoided for a time that grows with each failure, until it responds.
    void record_unconnected(backend_id const& id, time_point now);

    /// Records that another server answers at the address of this incarnation. It gets no requests
    /// until the directory lists another incarnation or address, or for a time that grows with each
    /// such answer, as a faulty server may give one.
    /// @return false when this is known, or the directory lists another incarnation by now
    bool record_replaced(backend_id const& id, incarnation_number incarnation, time_point now);

    /// Records that the link to a service's servers is back: none is avoided for lack of one.
    void record_link(service_id const& service);

private:
    /// A server that has not said whether it is cold, and may have begun to be.
    struct assumed_cold
    {
        time_point since{};
        std::optional<time_point> started_at; ///< of the server's process; null: unknown
    };

    struct entry
    {
        server_view view;
        bool leaving = false;
        std::optional<time_point> holder_rated_at;     ///< when a rating by the holder last held
        std::optional<time_point> holder_rating_since; ///< when the holder last sent it
        std::optional<time_point> stated_cold_until; ///< by the newer of its row and its responses
        std::optional<time_point> row_cold_until;    ///< by its row
        std::optional<assumed_cold> assumed;         ///< null once the server has said more
        std::optional<time_point> replaced_until;    ///< another server answers at the address
        int replacements = 0;                        ///< times that one has answered
        cold_limit cold;
    };

    /// An incarnation that said that it leaves, in an answer or in the directory.
    struct departure
    {
        incarnation_number incarnation;
        time_point at{};
    };

    static bool is_expired(entry const& e, time_point now);
    static void record_refusal(server_view& v, time_point now);
    entry* entry_of(server_rating const& rating);
    /// @return true when it was not recorded before
    bool record_departure(backend_id const& id, incarnation_number incarnation, time_point now);
    bool has_said_leaving(backend_id const& id, incarnation_number incarnation) const;

    static void record_row_cold(entry& e, time_point until, time_point now);
    /// Derives what follows from the entry's statements, the policy and the rank.
    void update_cold(entry& e, time_point now);
    void update_all_cold(time_point now);

    server_availability availability_of(
        entry const& e, placement_rule const& rule, time_point now) const;

    mutable ranked_mutex mutex_{lock_rank::backend_table};
    send_shares shares_;
    cold_policy cold_policy_;
    instance_rank rank_;
    std::uint64_t cold_requests_sent_ = 0;
    std::set<failure_domain_id> evacuated_;
    std::map<backend_id, entry> entries_;
    std::map<backend_id, departure> departures_;
    std::uint64_t dropped_departures_ = 0;
};

} // namespace auburnweir::state

#endif
