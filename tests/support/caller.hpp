#ifndef AUBURNWEIR_TESTS_CALLER_HPP
#define AUBURNWEIR_TESTS_CALLER_HPP

#include "protocol/json.hpp"
#include "protocol/sse.hpp"
#include "transport/http_client.hpp"

#include <optional>
#include <string>
#include <vector>

namespace auburnweir::tests
{

using nlohmann::json;
using header_list = std::vector<std::pair<std::string, std::string>>;

/// A response as a caller receives it.
struct received_response
{
    int status = 0; ///< 0: no response
    std::string body;
    transport::http_fields headers;
    bool is_complete = false; ///< the last chunk or byte has arrived, or a body with neither
                              ///< length nor chunks has ended with its connection

    json parsed() const { return json::parse(body, nullptr, false); }
    std::string header(std::string const& name) const
    {
        auto const value = headers[name];
        return std::string{value.data(), value.size()};
    }
    std::string reason() const { return protocol::text_at(parsed(), "reason"); }
    std::string run_outcome() const { return protocol::text_at(parsed(), "run"); }
};

/// Sends requests and reuses its idle connections.
class caller_session
{
public:
    caller_session();

    received_response call(
        std::uint16_t port, std::string method, std::string target, header_list headers = {},
        std::string body = {}, int timeout_ms = 30000);

    /// As `call`, but returns a response whose body breaks off, with what has arrived of it, as one
    /// that is not complete. `timeout_ms` applies to the header and to each part of the body.
    received_response call_for_parts(
        std::uint16_t port, std::string method, std::string target, header_list headers,
        std::string body, int timeout_ms);

private:
    std::unique_ptr<transport::net::io_context> io_;
    std::unique_ptr<transport::http_client> client_;
};

/// Sends one request on a new connection and waits for the response.
received_response call(
    std::uint16_t port, std::string method, std::string target, header_list headers = {},
    std::string body = {}, int timeout_ms = 30000);

/// Sends `bytes` unchanged and returns all received bytes. Reading ends when the connection closes
/// or is silent for `timeout_ms`.
std::string send_raw(std::uint16_t port, std::string const& bytes, int timeout_ms = 3000);

/// Sends `chunks` in order, with a pause before each chunk but the first.
std::string send_raw(
    std::uint16_t port, std::vector<std::string> const& chunks, int pause_ms, int timeout_ms);

/// A streamed answer that a test reads in steps.
class streamed_answer
{
public:
    streamed_answer(
        std::uint16_t port, std::string method, std::string target, header_list headers,
        std::string body);

    int status() const { return status_; }

    /// Reads until `count` tokens have arrived since the start, the stream ends, or it is silent
    /// for 30 s.
    void read_tokens(std::size_t count);

    /// Reads until the body has `count` bytes or has ended, or the stream is silent for 30 s.
    void read_bytes(std::size_t count);

    void read_to_end() { read_tokens(SIZE_MAX); }

    /// Closes the connection before the stream ends.
    void disconnect() { stream_.reset(); }

    std::string const& text() const { return text_; }
    std::size_t tokens() const { return tokens_; }
    std::string const& last_event_id() const { return last_event_id_; }

    /// Whether the stream's final event `[DONE]` has arrived.
    bool finished() const { return finished_; }

    /// Whether the response's body has ended with its last chunk.
    bool is_complete() const { return complete_; }

    /// All bytes of the body so far.
    std::string const& body() const { return body_; }
    std::string const& finish_reason() const { return finish_reason_; }

private:
    void read_part();
    void parse_lines(std::string const& bytes);

    std::unique_ptr<transport::net::io_context> io_;
    std::unique_ptr<transport::http_client> client_;
    std::optional<transport::http_stream> stream_;
    int status_ = 0;
    std::string buffer_;
    std::string text_;
    std::size_t tokens_ = 0;
    std::string last_event_id_;
    std::string finish_reason_;
    std::string body_;
    bool finished_ = false;
    bool complete_ = false;
};

} // namespace auburnweir::tests

#endif
