#ifndef AUBURNWEIR_COORDINATION_SERVER_CHOICE_HPP
#define AUBURNWEIR_COORDINATION_SERVER_CHOICE_HPP

#include "state/forwarded_request.hpp"
#include "state/server_table.hpp"

#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace auburnweir::coordination
{

/// What a choice among backend servers depends on.
struct choice_request
{
    std::string affinity; ///< requests of equal affinity share cached memory; empty: none
    state::failure_domain_id home;
    std::set<state::backend_id> tried; ///< by earlier attempts; avoided
};

/// The least loaded server, near ones first.
struct nearest_least_loaded
{
    double far_penalty = 2; ///< requests by which a server in another failure domain seems fuller
};

/// The server that all instances prefer for the request's affinity, unless it is much fuller than
/// the others; near ones first.
struct affinity_with_bounded_load
{
    double bound = 1.25;     ///< of the mean load, above which the next preferred one is taken
    double allowance = 3;    ///< requests beyond the bound that are always accepted
    double full_share = 1.0; ///< of the slots, from which a server counts as full
};

using choice_policy = std::variant<nearest_least_loaded, affinity_with_bounded_load>;

/// Requests that a server is estimated to hold, from its last report and what was sent since.
double estimated_load(state::server_view const& view, state::time_point now);

/// Chooses a server for one attempt.
/// @param servers  usable ones of the request's service
/// @return null when there is none that was not tried
std::optional<state::server_view> choose_server(
    choice_policy const& policy, std::vector<state::server_view> servers,
    choice_request const& request, state::time_point now, std::mt19937_64& random);

/// The affinity of a request: its deepest part that other requests share.
std::string affinity_of(state::forwarded_request const& request);

} // namespace auburnweir::coordination

#endif
