#ifndef AUBURNWEIR_TRANSPORT_GATEWAY_CONNECTION_HPP
#define AUBURNWEIR_TRANSPORT_GATEWAY_CONNECTION_HPP

#include "transport/forwarder.hpp"

#include <memory>
#include <variant>

namespace auburnweir::transport
{

/// Requests come from callers.
struct caller_door
{
};

/// Requests come from other instances, which do not reach the servers themselves.
struct relay_door
{
};

/// Where a connection was accepted, which decides how its requests are handled.
using connection_door = std::variant<caller_door, relay_door>;

/// A connection of a caller or of another instance: reads requests within limits and handles them.
class gateway_connection : public std::enable_shared_from_this<gateway_connection>
{
public:
    gateway_connection(
        gateway_context& context, worker& assigned_worker, tcp::socket socket,
        connection_door door);

    void start();

private:
    using request_parser = http::request_parser<http::string_body>;
    using received_request = http::request<http::string_body>;

    net::awaitable<void> run();
    net::awaitable<bool> wait_for_request();
    net::awaitable<bool> serve_one();
    net::awaitable<void> forward(received_request request, state::time_point arrived_at);
    net::awaitable<void> relay(received_request request, state::time_point arrived_at);
    net::awaitable<void> refuse_unread(error_code error);
    net::awaitable<void> refuse(protocol::problem p);
    state::byte_count buffered_body_size(request_parser const& parser) const;
    net::awaitable<error_code> read_body(request_parser& parser);
    state::caller_limits limits() const;
    std::size_t max_header_bytes() const;

    gateway_context& context_;
    worker& worker_;
    connection_door door_;
    activity_count::scope open_;
    bool is_surplus_; ///< callers have used up their share of the descriptors
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    response_writer writer_;
    io_timeout read_timeout_;
};

} // namespace auburnweir::transport

#endif
