#ifndef AUBURNWEIR_STATE_ROUTE_SET_HPP
#define AUBURNWEIR_STATE_ROUTE_SET_HPP

#include "state/configuration.hpp"
#include "state/configuration_table.hpp"
#include "state/ids.hpp"
#include "state/time.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Routes, services and organisations that the gateway forwards by.
namespace auburnweir::state
{

/// What may be repeated of a route's requests.
enum class retry_rule : std::uint8_t
{
    idempotent,   ///< may run any number of times
    at_most_once, ///< may run once
    resumable     ///< a stream that may go on at another backend server after its last event
};

/// A service that gets a part of a route's requests.
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
    bool carries_prompt = false; ///< requests name their prompt's parts and token counts
    bool anonymous = false;      ///< needs no key
    duration timeout{0};
    duration latency_objective{0};
    duration max_event_gap{0}; ///< between events of a stream that is on time
    int priority = 0;          ///< 0 is the most urgent
    int max_attempts = 1;      ///< backend servers that one request may be sent to
    std::vector<weighted_service> targets;

    /// The target of a request: the same on every instance.
    service_id const& target_of(std::string_view request) const;
};

/// Memory and links of a service's model engines.
struct engine_capacity
{
    std::int64_t slots = 1;
    token_count memory{0};
    byte_count bytes_per_token{0};
    bool kv_transfer = false; ///< a run's memory can be copied to another engine
    bool kv_backup = false;   ///< a run's memory can be sent to another engine as it grows
};

/// Bounds and prices of the number of a service's engines, for each failure domain.
struct fleet_bounds
{
    std::int64_t min_engines = 0;
    std::int64_t max_engines = 0;
    duration start_time{0};
    double reclaimable_price = 1.0; ///< relative to an on-demand engine
    std::map<failure_domain_id, double> domain_prices;
};

struct routed_service
{
    service_id id;
    std::string health_path;
    std::int64_t max_connections = 1; ///< one backend server takes from all instances together
    std::optional<engine_capacity> engine;
    std::optional<fleet_bounds> fleet;
};

/// What an organisation may ask for; a rate of 0 means no limit.
struct organisation_quota
{
    organisation_id id;
    std::optional<int> priority; ///< goes before the route's
    bool in_tokens = false;      ///< rate and burst count tokens, else requests
    token_count tokens_if_unknown{0};
    double rate_per_second = 0;
    double burst = 0;
};

/// Limits on what callers send.
struct caller_limits
{
    byte_count header{16384};
    byte_count body{4194304};
    duration header_timeout{std::chrono::seconds{3}};
    duration idle_timeout{std::chrono::seconds{15}};
};

/// One version of the operators' configuration. Immutable.
class route_set
{
public:
    class builder;

    configuration_version version() const { return version_; }

    /// The route of `host` with the longest prefix that begins `path`; null when there is none.
    route const* find(std::string_view host, std::string_view path) const;

    routed_service const* service(service_id const& id) const;
    std::vector<routed_service> const& services() const { return services_; }

    /// True when requests need a key unless their route is anonymous.
    bool keys_required() const { return keys_required_; }

    /// The organisation that holds `key`; null when none does.
    organisation_quota const* organisation_of_key(std::string_view key) const;
    std::vector<organisation_quota> const& organisations() const { return organisations_; }

    caller_limits const& limits() const { return limits_; }
    std::size_t routes() const { return route_count_; }

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

    /// Also makes keys required.
    builder& add(organisation_quota value, std::vector<std::string> const& keys);
    builder& require_keys();
    route_set_ptr build();

private:
    route_set result_;
};

/// Host of a `Host` header: lower case, without port.
std::string normalised_host(std::string_view host);

} // namespace auburnweir::state

#endif
