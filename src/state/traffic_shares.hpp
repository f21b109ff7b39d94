#ifndef AUBURNWEIR_STATE_TRAFFIC_SHARES_HPP
#define AUBURNWEIR_STATE_TRAFFIC_SHARES_HPP

#include "state/ids.hpp"

#include <map>

namespace auburnweir::state
{

/// How the deployment's requests spread, over the instances that know of limited servers. From 0
/// to 1.
struct traffic_shares
{
    double own = 0;                                ///< of one instance
    std::map<failure_domain_id, double> by_domain; ///< of all instances in each domain

    friend bool operator==(traffic_shares const&, traffic_shares const&) = default;
};

} // namespace auburnweir::state

#endif
