#ifndef AUBURNWEIR_TRANSPORT_WEBSOCKET_ENDPOINT_HPP
#define AUBURNWEIR_TRANSPORT_WEBSOCKET_ENDPOINT_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace auburnweir::transport
{

/// Names one connection of a `websocket_endpoint`; never used again.
using connection_number = std::uint64_t;

/// WebSocket server and client in one, on a thread of its own that sleeps while nothing happens.
///
/// Compiled as C++17, so this header names no type of the WebSocket library and no C++20.
class websocket_endpoint
{
public:
    /// Called on the endpoint's thread.
    struct callbacks
    {
        std::function<void(connection_number, bool outbound)> opened;
        std::function<void(connection_number, std::string const& frame)> received;
        std::function<void(connection_number)> closed; ///< also when a connect failed
    };

    /// @param frame_limit  largest frame taken, in bytes
    websocket_endpoint(callbacks on, std::size_t frame_limit);
    ~websocket_endpoint();

    /// Listens. @return the port, or 0 when the address can't be had
    std::uint16_t listen(std::string const& host, std::uint16_t port);

    void start();

    /// Closes all connections and ends the thread.
    void stop();

    /// Begins a connection; `opened` or `closed` follows. Thread-safe.
    connection_number connect(std::string const& host, std::uint16_t port);

    /// Sends a binary frame; dropped when the connection is gone. Thread-safe.
    void send(connection_number to, std::string frame);

    /// Thread-safe.
    void close(connection_number which);

    /// Runs `task` on the endpoint's thread. Thread-safe.
    void post(std::function<void()> task);

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace auburnweir::transport

#endif
