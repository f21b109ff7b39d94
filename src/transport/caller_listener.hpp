#ifndef AUBURNWEIR_TRANSPORT_CALLER_LISTENER_HPP
#define AUBURNWEIR_TRANSPORT_CALLER_LISTENER_HPP

#include "transport/worker_pool.hpp"

#include <functional>

namespace auburnweir::transport
{

/// Accepts connections and deals them out to the workers.
class caller_listener
{
public:
    /// Takes a connection on the worker's own thread.
    using connection_handler = std::function<void(worker&, tcp::socket)>;

    caller_listener(worker_pool& workers, connection_handler on_connection);

    /// @return the port, or 0 when the address can't be had
    std::uint16_t listen(state::endpoint const& address);

    void start();

    /// Accepts no more; open connections go on. Thread-safe.
    void close();

private:
    net::awaitable<void> run();

    worker_pool& workers_;
    connection_handler on_connection_;
    tcp::acceptor acceptor_;
};

} // namespace auburnweir::transport

#endif
