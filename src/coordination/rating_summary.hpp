#ifndef AUBURNWEIR_COORDINATION_RATING_SUMMARY_HPP
#define AUBURNWEIR_COORDINATION_RATING_SUMMARY_HPP

#include "state/server_table.hpp"

#include <vector>

namespace auburnweir::coordination
{

/// The ratings that an instance has, for operators.
struct rating_summary
{
    std::size_t rated_servers = 0; ///< servers whose event interval is known
    /// Largest event interval of a server by the reference of its service; 1 without ratings.
    double slowest_to_reference = 1;
};

/// The reference of a service is the lower quartile of its known event intervals.
rating_summary summarise_ratings(
    std::vector<state::server_view> const& servers, state::time_point now);

} // namespace auburnweir::coordination

#endif
