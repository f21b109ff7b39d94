#ifndef AUBURNWEIR_COORDINATION_EJECTION_POLICY_HPP
#define AUBURNWEIR_COORDINATION_EJECTION_POLICY_HPP

#include "state/server_table.hpp"

#include <optional>
#include <vector>

namespace auburnweir::coordination
{

/// Conditions and limits for the ejection of failing backend servers.
struct ejection_settings
{
    int consecutive_failures_to_eject = 4;
    /// Share of recent requests by which a server exceeds the median of the service's others.
    double min_excess_failure_share = 0.35;
    state::duration base_duration = std::chrono::seconds{1}; ///< doubles with each ejection
    state::duration max_duration = std::chrono::seconds{8};
    double max_ejected_share = 0.5; ///< of a service's servers
};

/// Decides from the outcomes of its requests whether a backend server is ejected.
/// @param servers_of_service  all servers of its service, `server` included
/// @return the end of the ejection; null when the server is not ejected
std::optional<state::time_point> decide_ejection(
    state::server_view const& server, std::vector<state::server_view> const& servers_of_service,
    state::time_point now, ejection_settings const& settings = {});

} // namespace auburnweir::coordination

#endif
