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

/// What a routing decision knows of the request.
struct routing_request
{
    state::token_count prompt{0};
    prefix_hashes prefix;
    state::region_id region;                           ///< where this instance stands
    state::duration latency_target{0};                 ///< to the first token
    std::set<state::backend_id> tried_backends;        ///< by earlier attempts; avoided
    std::set<state::failure_domain_id> failed_domains; ///< of failed attempts; a last resort
};

/// Each backend server in turn.
struct round_robin
{
    std::shared_ptr<std::atomic<std::uint64_t>> next =
        std::make_shared<std::atomic<std::uint64_t>>(0);
};

/// The fewest estimated requests in progress.
struct least_loaded
{
};

/// The less loaded of two random ones.
struct power_of_two
{
};

/// The lowest predicted time to the first token among a few random ones, weighted by headroom;
/// near-ties go to the cheapest.
struct predicted_first_token
{
    std::size_t sampled = 3; ///< candidates looked at; more of them herd on stale reports
    state::duration near_tie = std::chrono::milliseconds{20}; ///< differences that price decides
    double region_volume_price_seconds_per_token = 0.00002;   ///< penalty across regions
    state::duration region_latency = std::chrono::milliseconds{30}; ///< one way, between regions
    state::duration slow_start = std::chrono::seconds{10}; ///< ramp after start or ejection
    double busy_share = 0.6; ///< of the slots, above which a penalty grows
    state::duration full_penalty = std::chrono::milliseconds{100}; ///< with all slots in use
};

using routing_policy = std::variant<round_robin, least_loaded, power_of_two, predicted_first_token>;

std::string_view name_of(routing_policy const& policy);

/// Requests that a backend server is estimated to hold: its last report, corrected by what we
/// sent and what ended since.
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
