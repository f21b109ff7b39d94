#ifndef AUBURNWEIR_TRANSPORT_RESPONSE_WRITER_HPP
#define AUBURNWEIR_TRANSPORT_RESPONSE_WRITER_HPP

#include "protocol/problem.hpp"
#include "state/time.hpp"
#include "transport/asio.hpp"
#include "transport/io_timeout.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace auburnweir::transport
{

/// A complete response to a caller.
struct caller_response
{
    int status = 200;
    std::string content_type = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// A body in chunks.
struct chunked_body
{
};

/// A body whose length the header states.
struct sized_body
{
    std::uint64_t length = 0;
};

/// A body that ends with the connection.
struct unframed_body
{
};

using response_framing = std::variant<chunked_body, sized_body, unframed_body>;

/// Builds the response for a refused request.
caller_response response_for(protocol::problem const& p);

/// Writes responses to the connection of one caller. Each write returns false when it failed or
/// exceeded the timeout.
class response_writer
{
public:
    /// @param timeout  limit for each write, such as one chunk
    response_writer(beast::tcp_stream& stream, state::duration timeout);

    /// Sets whether the connection stays open after the response.
    void keep_alive(bool keep) { keep_alive_ = keep; }
    bool keeps_alive() const { return keep_alive_; }

    net::awaitable<bool> send(caller_response whole);

    /// Sends the header of a response whose body is sent in parts; `send_part` and `end` follow.
    net::awaitable<bool> begin(caller_response header, response_framing framing = chunked_body{});
    net::awaitable<bool> send_part(std::string data);
    net::awaitable<bool> end();

    /// True when the caller has closed the connection.
    bool caller_has_disconnected();

private:
    beast::tcp_stream& stream_;
    state::duration timeout_;
    io_timeout io_timeout_;
    response_framing framing_;
    bool keep_alive_ = true;
};

} // namespace auburnweir::transport

#endif
