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

/// A body that ends with the connection, which is reset unless the body has ended whole, even when
/// this process is killed.
struct guarded_body
{
};

using response_framing = std::variant<chunked_body, sized_body, unframed_body, guarded_body>;

/// A caller that reads chunks.
struct http_1_1
{
};

/// A caller that reads no chunks and takes each orderly end of its connection for that of a body
/// without a length.
struct http_1_0
{
};

/// The version of HTTP that a caller speaks.
using http_version = std::variant<http_1_1, http_1_0>;

/// @param number  of a request as Beast has it, such as 11
http_version version_of(unsigned number);

/// Whether callers of this version read responses such as "100 Continue" ahead of the final one.
bool reads_interim_responses(http_version version);

/// Builds the response for a refused request.
caller_response response_for(protocol::problem const& p);

/// Writes responses to the connection of one caller. Each write returns false when it failed or
/// exceeded the timeout.
class response_writer
{
public:
    /// @param timeout  limit for each write, such as one chunk
    response_writer(beast::tcp_stream& stream, state::duration timeout);

    /// Sets the version that the caller speaks, which decides how responses are framed.
    void version(http_version of_caller) { version_ = of_caller; }

    /// Sets whether the connection stays open after the response.
    void keep_alive(bool keep) { keep_alive_ = keep; }
    bool keeps_alive() const { return keep_alive_; }

    net::awaitable<bool> send(caller_response whole);

    /// Sends the header of a response whose body is sent in parts; `send_part` and `end` follow.
    net::awaitable<bool> begin(caller_response header, response_framing framing = chunked_body{});
    net::awaitable<bool> send_part(std::string data);
    net::awaitable<bool> end();

    /// Whether a body was broken off whose caller recognises that by a reset alone. Closing the
    /// connection resets it; ending its sending side would not.
    bool resets_connection() const { return is_guarded_; }

    /// True when the caller has closed the connection.
    bool caller_has_disconnected();

private:
    /// What the kernel does with the connection when it is closed, by a kill as well.
    enum class close_effect : std::uint8_t
    {
        orderly_end,
        reset
    };

    void set_close_effect(close_effect effect);

    beast::tcp_stream& stream_;
    state::duration timeout_;
    io_timeout io_timeout_;
    http_version version_;
    response_framing framing_;
    bool keep_alive_ = true;
    bool is_guarded_ = false; ///< closing the connection resets it
};

} // namespace auburnweir::transport

#endif
