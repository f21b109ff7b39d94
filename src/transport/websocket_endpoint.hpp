#ifndef AUBURNWEIR_TRANSPORT_WEBSOCKET_ENDPOINT_HPP
#define AUBURNWEIR_TRANSPORT_WEBSOCKET_ENDPOINT_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace auburnweir::transport
{

/// Identifies one connection of a `websocket_endpoint`; numbers are not reused.
using connection_number = std::uint64_t;

/// WebSocket server and client on one thread, which blocks while there is no event.
///
/// The source is compiled as C++17, so this header uses no type of the WebSocket library and no
/// C++20 feature.
class websocket_endpoint
{
public:
    /// Called on the endpoint's thread.
    struct callbacks
    {
        std::function<void(connection_number, bool outbound)> opened;
        std::function<void(connection_number, std::string const& frame)> received;
        std::function<void(connection_number)> closed; ///< also called when connecting failed
        /// A handler threw an exception; the endpoint goes on.
        std::function<void(std::string const& reason)> failed;
    };

    /// @param max_frame_bytes  size of the largest frame that is accepted on a new connection
    websocket_endpoint(callbacks on, std::size_t max_frame_bytes);
    ~websocket_endpoint();

    /// @return the port, or 0 when the address is not available
    std::uint16_t listen(std::string const& host, std::uint16_t port);

    void start();

    /// Closes all connections and ends the thread.
    void stop();

    /// Sets the size of the largest frame that is accepted on a connection. Called by a callback,
    /// so that it holds for the next frame.
    void set_max_frame_bytes(connection_number of, std::size_t bytes);

    /// Starts connecting; calls `opened` or `closed` later. Thread-safe.
    connection_number connect(std::string const& host, std::uint16_t port);

    /// Sends a binary frame, or drops it when the connection is closed. Thread-safe.
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
