#ifndef AUBURNWEIR_COORDINATION_SERVER_CHOICE_HPP
#define AUBURNWEIR_COORDINATION_SERVER_CHOICE_HPP

#include "coordination/placement_kind.hpp"
#include "state/forwarded_request.hpp"
#include "state/server_table.hpp"

#include <algorithm>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace auburnweir::coordination
{

/// Properties of a request on which the choice of its backend server depends.
struct choice_request
{
    std::string affinity; ///< requests of equal affinity share a KV cache; empty: none
    state::failure_domain_id failure_domain;    ///< of this instance
    std::set<state::backend_id> tried_backends; ///< in earlier attempts; never chosen
    state::instance_id instance;                ///< this instance
    state::token_count shared_tokens{0};        ///< of the segments that other requests share
    /// Whether a retry can follow a refusal. If not, a server whose last response was a refusal is
    /// chosen only when there is no other: its next refusal would be the caller's.
    bool can_retry_refusal = true;
};

/// Whether others are preferred to a server for this request, as it refused one.
bool is_refusing(
    state::server_view const& view, choice_request const& request, state::time_point now);

/// Whether a retry is acquired before the request is sent to this server. Requests that ask at the
/// same time would else all rely on the last retry of the budget.
bool needs_held_retry(
    state::server_view const& view, choice_request const& request, state::time_point now);

/// Removes the elements that meet the predicate if others are left.
template <class Elements, class Predicate>
void erase_unless_all(Elements& elements, Predicate const& predicate)
{
    if (!std::all_of(elements.begin(), elements.end(), predicate))
        std::erase_if(elements, predicate);
}

/// Chooses the least loaded server and prefers servers in the own failure domain.
struct nearest_least_loaded
{
    double far_penalty = 2; ///< requests added to the load of a server in another failure domain
};

/// Chooses the server that all instances prefer for the request's affinity, unless its load exceeds
/// a bound. Servers in the own failure domain come first, as far as their number allows.
struct affinity_with_bounded_load
{
    /// Bound of the load by the mean load; above it the next preferred server is chosen.
    double bound_factor = 1.25;
    double allowance = 3;    ///< requests added to the bound
    double full_share = 1.0; ///< of the slots; a server with this load or more is full
};

/// Chooses servers by their speed: for requests with long shared segments the server that all
/// instances prefer, over the whole deployment; for the others one of a few servers of the own
/// failure domain, which differ per instance. See `choose_weighted`.
struct speed_weighted_placement
{
    bool separate_lanes = false; ///< long requests and the others use different servers
};

using choice_policy =
    std::variant<nearest_least_loaded, affinity_with_bounded_load, speed_weighted_placement>;

/// A server and how it was chosen.
struct placed_server
{
    state::server_view server;
    std::optional<placement_kind> placement; ///< of `speed_weighted_placement` only
};

/// Estimated number of requests at a server, from its last load report and the requests sent since.
double estimated_load(state::server_view const& view, state::time_point now);

/// Chooses a server for one attempt.
/// @param servers  routable servers of the request's service
/// @return null when every server was tried
std::optional<state::server_view> choose_server(
    choice_policy const& policy, std::vector<state::server_view> servers,
    choice_request const& request, state::time_point now, std::mt19937_64& random);

/// The same, with the kind of placement for counters.
std::optional<placed_server> place_request(
    choice_policy const& policy, std::vector<state::server_view> servers,
    choice_request const& request, state::time_point now, std::mt19937_64& random);

/// Tokens of all prompt segments except the last one, which belongs to the request only.
state::token_count shared_tokens_of(state::forwarded_request const& request);

/// The affinity of a request: its deepest prompt segment that other requests share.
std::string affinity_of(state::forwarded_request const& request);

} // namespace auburnweir::coordination

#endif
