#ifndef AUBURNWEIR_STATE_BACKEND_TABLE_HPP
#define AUBURNWEIR_STATE_BACKEND_TABLE_HPP

#include "state/configuration.hpp"
#include "state/lock_rank.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace auburnweir::state
{

/// Last load report of a backend server; older than the server's present state.
struct load_report
{
    std::int64_t running = 0;
    std::int64_t queued = 0;
    token_count queued_prefill{0};
    double prefill_tokens_per_second = 0;
    double decode_tokens_per_second = 0; ///< for one stream
    time_point at{};
};

/// Marks a backend server that gets no new work because it will stop.
struct leaving_mark
{
    std::optional<time_point> deadline; ///< when the platform reclaims the server
};

/// Run-time state of one backend server as this instance sees it.
struct backend_view
{
    backend_id id;
    service_id service;
    failure_domain_id failure_domain;
    region_id region;
    version_id version;
    price_per_hour price;
    std::int64_t concurrency = 1;

    load_report report;
    std::int64_t in_flight = 0;          ///< this instance's requests that have not ended
    std::int64_t sent_since_report = 0;  ///< requests
    std::int64_t ended_since_report = 0; ///< requests
    token_count prefill_since_report{0}; ///< prompt tokens of requests sent
    double first_token_ewma_seconds = 0; ///< observed, 0 before the first observation
    duration link_latency{0};            ///< one way

    int consecutive_failures = 0;
    int ejections = 0;
    std::optional<time_point> ejected_until;
    time_point active_since{}; ///< when slow start began

    std::optional<leaving_mark> leaving;
};

/// The backend servers' run-time state, shared by the workers.
///
/// A leaving mark belongs to one incarnation of a backend server and is never cleared.
/// Thread-safe; takes `lock_rank::backend_table`.
class backend_table
{
public:
    /// Applies a configuration: adds new backend servers, removes absent ones and keeps the state
    /// of the others.
    void apply(configuration const& config, time_point now);

    /// Backend servers of a service that may get new requests at `now`.
    std::vector<backend_view> routable(service_id const& service, time_point now) const;

    /// The backend servers among `ids` that may get new requests at `now`.
    std::vector<backend_view> routable(std::vector<backend_id> const& ids, time_point now) const;

    /// Backend servers of a service that are not leaving, ejected or not.
    std::vector<backend_view> not_leaving(service_id const& service) const;

    /// Changes whenever the result of `not_leaving` may change.
    std::uint64_t revision() const;

    /// All backend servers, for status output.
    std::vector<backend_view> all() const;

    std::optional<backend_view> find(backend_id const& id) const;

    void record_sent(backend_id const& id, token_count prompt);
    void record_end(backend_id const& id);
    void record_load(backend_id const& id, load_report const& report);
    void record_first_token(backend_id const& id, duration waited);
    void record_success(backend_id const& id);

    /// @return number of consecutive failures, this one included
    int record_failure(backend_id const& id);

    void eject(backend_id const& id, time_point until);

    /// Share of a service's backend servers that are ejected at `now`, from 0 to 1.
    double ejected_share(service_id const& service, time_point now) const;

    /// @return true when the server was not marked before
    bool mark_leaving(backend_id const& id, leaving_mark mark);

    bool is_leaving(backend_id const& id) const;

private:
    mutable ranked_mutex mutex_{lock_rank::backend_table};
    std::unordered_map<backend_id, backend_view> views_;
    std::unordered_map<service_id, std::vector<backend_id>> by_service_;
    std::uint64_t revision_ = 0;
};

} // namespace auburnweir::state

#endif
