#ifndef AUBURNWEIR_COORDINATION_DESCRIPTOR_SHARES_HPP
#define AUBURNWEIR_COORDINATION_DESCRIPTOR_SHARES_HPP

#include <algorithm>
#include <cstddef>

namespace auburnweir::coordination
{

/// Division of a process's file descriptors, so that no use of them can starve another.
struct descriptor_shares
{
    std::size_t callers = 0;      ///< connections of callers whose requests are accepted
    std::size_t idle_servers = 0; ///< idle connections to backend servers
    /// The rest is for requests in progress at servers, the store, the platform, other instances
    /// and probes.
};

/// @param limit  of the process
constexpr descriptor_shares share_descriptors(std::size_t limit)
{
    constexpr std::size_t for_files = 200; ///< and other uses that do not grow with the load
    constexpr std::size_t callers_percent = 60;
    constexpr std::size_t idle_servers_percent = 15;
    auto const sockets = std::max(limit, 2 * for_files) - for_files;
    return {sockets * callers_percent / 100, sockets * idle_servers_percent / 100};
}

} // namespace auburnweir::coordination

#endif
