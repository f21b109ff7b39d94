#ifndef AUBURNWEIR_TRANSPORT_HTTP_CONNECTION_HPP
#define AUBURNWEIR_TRANSPORT_HTTP_CONNECTION_HPP

#include "state/configuration.hpp"
#include "state/ids.hpp"
#include "transport/clock.hpp"
#include "transport/io_timeout.hpp"

#include <algorithm>
#include <sys/socket.h>
#include <vector>

namespace auburnweir::transport
{

/// A connection of the HTTP client to an endpoint.
struct http_connection
{
    static constexpr std::size_t read_buffer_bytes = 2048;
    static constexpr std::size_t max_header_bytes = 16384;

    /// A connection with more refused requests is closed.
    static constexpr std::size_t max_refused_requests = 64;

    http_connection(net::io_context& io, state::endpoint to)
        : stream(io)
        , address(std::move(to))
        , buffer(max_header_bytes + read_buffer_bytes)
        , timeout(stream)
    {
    }

    /// True when the server has closed the connection or sent data without a request.
    bool is_stale()
    {
        char byte = 0;
        auto const received =
            ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        bool const is_idle = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        return !is_idle;
    }

    /// True when a copy of the refusal of an earlier attempt may arrive for a new one.
    bool has_refused(state::request_id const& request) const
    {
        return std::ranges::find(refused, request) != refused.end();
    }

    /// 0 when the connection is closed.
    std::uint16_t local_port()
    {
        error_code error;
        auto const local = stream.socket().local_endpoint(error);
        return error ? std::uint16_t{0} : local.port();
    }

    void close()
    {
        error_code ignored;
        stream.socket().close(ignored);
    }

    beast::tcp_stream stream;
    state::endpoint address;
    beast::flat_buffer buffer;
    io_timeout timeout;
    bool write_pending = false;             ///< the request is not completely written
    int requests = 0;                       ///< written on it so far, each at least in part
    std::vector<state::request_id> refused; ///< requests that the server said it has not run
    state::time_point idle_since{};
    state::duration max_idle_time = std::chrono::hours{1};
};

using http_connection_ptr = std::shared_ptr<http_connection>;

} // namespace auburnweir::transport

#endif
