#ifndef AUBURNWEIR_TRANSPORT_RESPONSE_WRITER_HPP
#define AUBURNWEIR_TRANSPORT_RESPONSE_WRITER_HPP

#include "protocol/problem.hpp"
#include "state/time.hpp"
#include "transport/asio.hpp"
#include "transport/io_timeout.hpp"

#include <string>
#include <utility>
#include <vector>

namespace auburnweir::transport
{

/// A whole answer to a caller.
struct caller_response
{
    int status = 200;
    std::string content_type = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// The answer for a refusal.
caller_response response_for(protocol::problem const& p);

/// Writes answers to one caller's connection.
class response_writer
{
public:
    /// @param limit  time for the caller to take one part
    response_writer(beast::tcp_stream& stream, state::duration limit);

    /// Whether the connection stays open after the answer.
    void keep_alive(bool keep) { keep_alive_ = keep; }
    bool keeps_alive() const { return keep_alive_; }

    /// @return false when the caller is gone
    net::awaitable<bool> send(caller_response reply);

    /// Begins an answer of unknown length.
    net::awaitable<bool> begin(caller_response head);
    net::awaitable<bool> send_chunk(std::string part);
    net::awaitable<bool> end();

    /// True when the caller has closed the connection.
    bool caller_has_disconnected();

private:
    beast::tcp_stream& stream_;
    state::duration limit_;
    io_timeout io_limit_;
    bool keep_alive_ = true;
};

} // namespace auburnweir::transport

#endif
