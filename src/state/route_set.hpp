#ifndef AUBURNWEIR_STATE_ROUTE_SET_HPP
#define AUBURNWEIR_STATE_ROUTE_SET_HPP

#include "state/configuration.hpp"
#include "state/configuration_table.hpp"
#include "state/ids.hpp"
#include "state/time.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// The gateway's configuration: routes, services and organisations.
namespace auburnweir::state
{

/// Whether requests of a route may be retried after they may have run.
enum class retry_rule : std::uint8_t
{
    idempotent,   ///< a request may run any number of times
    at_most_once, ///< a request may run once
    resumable     ///< a stream may resume at another backend server after its last event
};

/// Regions that a configuration permits; null: all of them. An empty set permits none.
using region_list = std::optional<std::set<region_id>>;

/// A service that gets a share of a route's requests.
struct weighted_service
{
    service_id service;
    std::int64_t weight = 1;
};

struct route
{
    route_id id;
    std::string host;   ///< lower case, without port
    std::string prefix; ///< begins and ends with a slash
    retry_rule retry = retry_rule::at_most_once;
    bool streaming = false;
    bool carries_prompt = false; ///< request headers list prompt segments and token counts
    bool anonymous = false;      ///< requests need no key
    duration timeout{0};
    duration latency_objective{0};
    duration max_event_gap{0}; ///< between two events of a stream that meets its objective
    int priority = 0;          ///< 0 is the most urgent
    int max_attempts = 1;      ///< backend servers at which one request may run
    std::vector<weighted_service> targets;
    region_list regions; ///< in which requests may be served

    /// Service for a request id; the same on every instance.
    service_id const& target_of(std::string_view request) const;
};

/// Memory and links of a service's model engines.
struct engine_capacity
{
    std::int64_t slots = 1;
    token_count memory{0};
    byte_count bytes_per_token{0};
    bool kv_transfer = false; ///< the KV cache of a run can be copied to another engine
    bool kv_backup = false; ///< the KV cache of a run can be sent to another engine while it grows
};

/// Bounds of the number of a service's engines in each failure domain, and their prices.
struct fleet_bounds
{
    std::int64_t min_engines = 0;
    std::int64_t max_engines = 0;
    duration startup_time{0};
    double reclaimable_price = 1.0; ///< relative to the price of an on-demand engine
    std::map<failure_domain_id, double> domain_prices;
};

struct routed_service
{
    service_id id;
    std::string health_path;
    std::int64_t max_connections = 1; ///< to one backend server, from all instances together
    std::optional<engine_capacity> engine;
    std::optional<fleet_bounds> fleet;
    duration cold_time{0};      ///< for which a server stays cold after its start; 0: never cold
    double cold_per_second = 0; ///< requests that a cold server tolerates from all instances
};

/// Quota of an organisation; a rate of 0 means no limit.
struct organisation_quota
{
    organisation_id id;
    std::optional<int> priority; ///< overrides the route's priority
    bool in_tokens = false;      ///< `rate_per_second` and `burst` count tokens instead of requests
    token_count tokens_if_unknown{0};
    double rate_per_second = 0;
    double burst = 0;
    region_list regions; ///< in which requests may be served
};

/// Limits on requests of callers.
struct caller_limits
{
    byte_count header{16384};
    byte_count body{4194304};
    duration header_timeout{std::chrono::seconds{3}};
    duration idle_timeout{std::chrono::seconds{15}};
};

/// One immutable version of the operators' configuration.
class route_set
{
public:
    class builder;

    configuration_version version() const { return version_; }

    /// The route of `host` with the longest prefix of `path`; null when none matches.
    route const* find(std::string_view host, std::string_view path) const;

    /// The routes of that name, of all hosts.
    std::vector<route const*> routes_named(route_id const& id) const;

    routed_service const* service(service_id const& id) const;
    std::vector<routed_service> const& services() const { return services_; }

    /// True when requests to routes that are not anonymous need a key.
    bool keys_required() const { return keys_required_; }

    /// The organisation that `key` belongs to; null when the key is unknown.
    organisation_quota const* organisation_of_key(std::string_view key) const;
    organisation_quota const* organisation(organisation_id const& id) const;
    std::vector<organisation_quota> const& organisations() const { return organisations_; }

    caller_limits const& limits() const { return limits_; }
    std::size_t route_count() const { return route_count_; }

    /// All routes, in no particular order.
    std::vector<route const*> routes() const;

private:
    configuration_version version_;
    std::unordered_map<std::string, std::vector<route>> routes_by_host_;
    std::size_t route_count_ = 0;
    std::vector<routed_service> services_;
    std::vector<organisation_quota> organisations_;
    std::unordered_map<std::string, std::size_t> organisation_by_key_;
    bool keys_required_ = false;
    caller_limits limits_;
};

using route_set_ptr = std::shared_ptr<route_set const>;

class route_set::builder
{
public:
    builder& version(configuration_version value);
    builder& limits(caller_limits value);
    builder& add(route value);
    builder& add(routed_service value);

    /// Adds an organisation and makes keys required.
    builder& add(organisation_quota value, std::vector<std::string> const& keys);
    builder& require_keys();
    route_set_ptr build();

private:
    route_set result_;
};

/// Host part of a `Host` header in lower case, without the port.
std::string normalised_host(std::string_view host);

} // namespace auburnweir::state

#endif
