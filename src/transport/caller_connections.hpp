#ifndef AUBURNWEIR_TRANSPORT_CALLER_CONNECTIONS_HPP
#define AUBURNWEIR_TRANSPORT_CALLER_CONNECTIONS_HPP

#include "transport/activity_count.hpp"

namespace auburnweir::transport
{

/// Open connections of callers.
struct caller_connections
{
    activity_count open;
    std::size_t max = 0; ///< requests on connections beyond it are refused
};

} // namespace auburnweir::transport

#endif
