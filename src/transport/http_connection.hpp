#ifndef AUBURNWEIR_TRANSPORT_HTTP_CONNECTION_HPP
#define AUBURNWEIR_TRANSPORT_HTTP_CONNECTION_HPP

#include "coordination/refused_requests.hpp"
#include "state/configuration.hpp"
#include "transport/clock.hpp"
#include "transport/io_timeout.hpp"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace auburnweir::transport
{

/// A connection of the HTTP client to an endpoint.
struct http_connection
{
    static constexpr std::size_t read_buffer_bytes = 2048;
    static constexpr std::size_t max_header_bytes = 16384;

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

    /// Whether bytes were written that the server's host has not acknowledged.
    bool has_undelivered_bytes()
    {
        int bytes = 0;
        return !stream.socket().is_open() ||
               ::ioctl(stream.socket().native_handle(), SIOCOUTQ, &bytes) != 0 || bytes != 0;
    }

    /// After an end of file: whether the server closed its side in an orderly way, after all bytes
    /// of the request had arrived.
    ///
    /// The end of file alone does not show that. A reset ends the file too if the writer was told
    /// of it first, and a server that closes without having read the whole request sends a reset
    /// only when the next bytes arrive. The state of the socket shows both, also when the error was
    /// reported already: it is CLOSE_WAIT only after a FIN without a reset.
    bool has_orderly_end()
    {
        if (write_pending)
            return false;
        auto const socket = stream.socket().native_handle();
        if (has_undelivered_bytes())
            return false;
        tcp_info info{};
        socklen_t size = sizeof info;
        if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
            return false;
        return info.tcpi_state == TCP_CLOSE_WAIT;
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

    /// Closes with a reset, which leaves no port in TIME_WAIT. Only after a complete response.
    void abort()
    {
        error_code ignored;
        stream.socket().set_option(net::socket_base::linger(true, 0), ignored);
        close();
    }

    beast::tcp_stream stream;
    state::endpoint address;
    beast::flat_buffer buffer;
    io_timeout timeout;
    bool write_pending = false; ///< the request is not completely written, or the write failed
    std::size_t request_body_bytes = 0; ///< of the last request
    int requests = 0;                   ///< written on it so far, each at least in part

    /// A copy of the refusal of an earlier attempt may arrive for a new one.
    coordination::refused_requests refused;
    state::time_point opened_at{};
    state::time_point requested_at{}; ///< when the last request was sent
    state::time_point idle_since{};
    state::duration max_idle_time = std::chrono::hours{1};
};

using http_connection_ptr = std::shared_ptr<http_connection>;

} // namespace auburnweir::transport

#endif
