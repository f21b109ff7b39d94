#ifndef AUBURNWEIR_TRANSPORT_REPLY_WRITER_HPP
#define AUBURNWEIR_TRANSPORT_REPLY_WRITER_HPP

#include "protocol/problem.hpp"
#include "state/time.hpp"
#include "transport/asio.hpp"
#include "transport/io_limit.hpp"

#include <string>
#include <utility>
#include <vector>

namespace auburnweir::transport
{

/// A whole answer to a caller.
struct caller_reply
{
    int status = 200;
    std::string content_type = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// The answer for a refusal.
caller_reply reply_for(protocol::problem const& p);

/// Writes answers to one caller's connection.
class reply_writer
{
public:
    /// @param limit  time for the caller to take one part
    reply_writer(beast::tcp_stream& stream, state::duration limit);

    /// Whether the connection stays open after the answer.
    void keep_alive(bool keep) { keep_alive_ = keep; }
    bool keeps_alive() const { return keep_alive_; }

    /// @return false when the caller is gone
    net::awaitable<bool> send(caller_reply reply);

    /// Begins an answer of unknown length.
    net::awaitable<bool> begin(caller_reply head);
    net::awaitable<bool> send_part(std::string part);
    net::awaitable<bool> end();

    /// True when the caller has closed the connection.
    bool caller_has_left();

private:
    beast::tcp_stream& stream_;
    state::duration limit_;
    io_limit io_limit_;
    bool keep_alive_ = true;
};

} // namespace auburnweir::transport

#endif
