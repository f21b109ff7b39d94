#ifndef AUBURNWEIR_TRANSPORT_CONNECTION_KEEPER_HPP
#define AUBURNWEIR_TRANSPORT_CONNECTION_KEEPER_HPP

#include "coordination/descriptor_shares.hpp"
#include "transport/gateway_context.hpp"

namespace auburnweir::transport
{

/// Closes idle connections to servers that have left, that have ended them or that nobody uses.
class connection_keeper
{
public:
    explicit connection_keeper(gateway_context& context);

    void start();

    /// Closes all idle connections, as there are no descriptors left. Thread-safe.
    void release_descriptors();

private:
    void close_useless_connections();
    void close_useless_connections(worker& of) const;

    gateway_context& context_;
    timer_subscription subscription_;
};

/// Shares of the file descriptors that this process may open.
coordination::descriptor_shares own_descriptor_shares();

} // namespace auburnweir::transport

#endif
