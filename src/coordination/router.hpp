#ifndef AUBURNWEIR_COORDINATION_ROUTER_HPP
#define AUBURNWEIR_COORDINATION_ROUTER_HPP

#include "coordination/prefix_index.hpp"
#include "state/backend_table.hpp"

#include <atomic>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

namespace auburnweir::coordination
{

using random_engine = std::mt19937_64;

/// Properties of a request that a routing decision uses.
struct routing_request
{
    state::token_count prompt{0};
    prefix_hashes prefix;
    state::region_id region;                           ///< of this instance
    state::duration latency_target{0};                 ///< to the first token
    std::set<state::backend_id> tried_backends;        ///< in earlier attempts; never chosen
    std::set<state::failure_domain_id> failed_domains; ///< of failed attempts; chosen last
};

/// Chooses the backend servers in turn.
struct round_robin
{
    std::shared_ptr<std::atomic<std::uint64_t>> next =
        std::make_shared<std::atomic<std::uint64_t>>(0);
};

/// Chooses the backend server with the fewest estimated requests in progress.
struct least_loaded
{
};

/// Chooses the less loaded of two random backend servers.
struct power_of_two
{
};

/// Chooses the backend server with the lowest predicted time to the first token among a few random
/// ones, with penalties for high load and slow start. Among those within `tie_tolerance` of the
/// lowest time, the cheapest is chosen.
struct predicted_first_token
{
    /// Random candidates of one choice. With more, instances with stale reports choose the same.
    std::size_t sample_size = 3;
    state::duration tie_tolerance = std::chrono::milliseconds{20}; ///< within it the price decides
    double cross_region_seconds_per_token = 0.00002;               ///< per prompt token
    state::duration cross_region_latency = std::chrono::milliseconds{30}; ///< one way
    state::duration slow_start = std::chrono::seconds{10}; ///< ramp after a start or an ejection
    double busy_slot_share = 0.6; ///< above this share of slots in use a penalty grows
    /// Penalty when all slots are in use.
    state::duration full_load_penalty = std::chrono::milliseconds{100};
};

using routing_policy = std::variant<round_robin, least_loaded, power_of_two, predicted_first_token>;

std::string_view name_of(routing_policy const& policy);

/// Estimated number of requests at a backend server: its last report, corrected by the requests
/// that this instance has sent and that have ended since.
double estimated_requests(state::backend_view const& view);

/// Predicted time to the first token.
state::duration predicted_time_to_first_token(
    state::backend_view const& view, routing_request const& request,
    state::token_count expected_hit, predicted_first_token const& policy);

/// Chooses backend servers. Thread-safe; takes `lock_rank::prefix_index`. Reads no clock.
class router
{
public:
    router(routing_policy policy, prefix_index const& prefixes);

    /// @param candidates  routable backend servers of the request's service
    /// @return null when there is no candidate that is not `tried_backends`
    std::optional<state::backend_id> choose(
        std::vector<state::backend_view> const& candidates, routing_request const& request,
        state::time_point now, random_engine& random) const;

private:
    routing_policy policy_;
    prefix_index const& prefixes_;
};

} // namespace auburnweir::coordination

#endif
