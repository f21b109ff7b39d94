#ifndef AUBURNWEIR_COORDINATION_SERVER_WEIGHTS_HPP
#define AUBURNWEIR_COORDINATION_SERVER_WEIGHTS_HPP

#include "state/server_table.hpp"

#include <vector>

namespace auburnweir::coordination
{

/// Lower quartile of the known event intervals of some servers; zero when none is known.
/// @param intervals  zero: unknown
state::duration reference_interval(std::vector<state::duration> intervals);

/// Weight, above 0 and at most 1, of a server with this event interval; 1 when it is unknown.
double weight_of(state::duration interval, state::duration reference);

/// Weights of the servers of one service, in their order.
///
/// Answers the pattern of servers that differ in speed, by their machine or for some time, while
/// all get the same number of requests. Ratings older than 10 s count as unknown.
std::vector<double> server_weights(
    std::vector<state::server_view> const& servers, state::time_point now);

} // namespace auburnweir::coordination

#endif
