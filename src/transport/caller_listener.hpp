#ifndef AUBURNWEIR_TRANSPORT_CALLER_LISTENER_HPP
#define AUBURNWEIR_TRANSPORT_CALLER_LISTENER_HPP

#include "transport/worker_pool.hpp"

#include <functional>

namespace auburnweir::transport
{

/// Accepts connections and assigns them to the workers in turn.
class caller_listener
{
public:
    /// Handles a new connection; called on the thread of its worker.
    using connection_handler = std::function<void(worker&, tcp::socket)>;

    /// Called when there are no descriptors left for a connection.
    using exhaustion_handler = std::function<void()>;

    caller_listener(
        worker_pool& workers, connection_handler on_connection,
        exhaustion_handler on_exhaustion = {});

    /// @return the port, or 0 when the address is not available
    std::uint16_t listen(state::endpoint const& address);

    void start();

    /// Stops accepting connections; open connections stay open. Thread-safe.
    void close();

private:
    net::awaitable<void> run();

    worker_pool& workers_;
    connection_handler on_connection_;
    exhaustion_handler on_exhaustion_;
    tcp::acceptor acceptor_;
};

} // namespace auburnweir::transport

#endif
