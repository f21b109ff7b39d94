#ifndef AUBURNWEIR_STATE_SERVER_POOL_HPP
#define AUBURNWEIR_STATE_SERVER_POOL_HPP

#include "state/ids.hpp"
#include "state/time.hpp"

#include <map>
#include <variant>

namespace auburnweir::state
{

/// The server may get a request now.
struct server_open
{
};

/// The server has said that it takes nothing from this instance before a time, whatever the state
/// of the other servers.
struct server_closed
{
    time_point until{};
};

/// The server gets no more requests in its lifetime.
struct server_leaving
{
};

/// Another server answers at the server's address, so a request would be refused there.
struct server_replaced
{
};

/// The request may not be sent to the server: its failure domain is not permitted or is evacuated.
struct server_barred
{
};

using server_availability =
    std::variant<server_open, server_closed, server_leaving, server_replaced, server_barred>;

/// When a server wants requests again: after a time, or at a moment of true time.
using return_time = std::variant<duration, wall_time>;

/// Shares, from 0 to 1, of the rates that servers take from all instances together, which this
/// instance may use.
struct send_shares
{
    std::map<failure_domain_id, double> by_domain; ///< of the servers' domains
    double elsewhere = 0;                          ///< for servers of all other domains

    double of(failure_domain_id const& domain) const
    {
        auto const found = by_domain.find(domain);
        return found == by_domain.end() ? elsewhere : found->second;
    }
};

} // namespace auburnweir::state

#endif
