#ifndef AUBURNWEIR_COORDINATION_EJECTION_POLICY_HPP
#define AUBURNWEIR_COORDINATION_EJECTION_POLICY_HPP

#include "state/server_table.hpp"

#include <optional>
#include <vector>

namespace auburnweir::coordination
{

/// Limits of the ejection of failing servers.
struct ejection_settings
{
    int failures_in_row = 4;
    double failure_share = 0.35; ///< of recent requests, above what the service's others show
    state::duration base = std::chrono::seconds{1}; ///< doubles with each ejection
    state::duration longest = std::chrono::seconds{8};
    double most_ejected = 0.5; ///< share of a service's servers
};

/// Whether a server gets no requests for a while, judged by what its requests did.
/// @param others  all servers of its service
/// @return the end of the ejection, or null to keep it
std::optional<state::time_point> ejection_end(
    state::server_view const& server, std::vector<state::server_view> const& others,
    state::time_point now, ejection_settings const& settings = {});

} // namespace auburnweir::coordination

#endif
