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

/// An answer as a caller sees it.
struct received_response
{
    int status = 0; ///< 0: no answer
    std::string body;
    transport::http_fields headers;

    json parsed() const { return json::parse(body, nullptr, false); }
    std::string header(std::string const& name) const
    {
        auto const value = headers[name];
        return std::string{value.data(), value.size()};
    }
    std::string reason() const { return protocol::text_at(parsed(), "reason"); }
    std::string run() const { return protocol::text_at(parsed(), "run"); }
};

/// Makes calls on connections that it keeps.
class caller_session
{
public:
    caller_session();

    received_response call(
        std::uint16_t port, std::string method, std::string target, header_list headers = {},
        std::string body = {}, int limit_ms = 30000);

private:
    std::unique_ptr<transport::net::io_context> io_;
    std::unique_ptr<transport::http_client> client_;
};

/// Makes one call on a connection of its own and waits for the answer.
received_response call(
    std::uint16_t port, std::string method, std::string target, header_list headers = {},
    std::string body = {}, int limit_ms = 30000);

/// Sends bytes as they are and returns what comes back until the connection closes or is silent.
std::string send_raw(std::uint16_t port, std::string const& bytes, int limit_ms = 3000);

/// The same with a pause before each part but the first.
std::string send_raw(
    std::uint16_t port, std::vector<std::string> const& parts, int pause_ms, int limit_ms);

/// A streamed answer that is read step by step.
class streamed_answer
{
public:
    streamed_answer(
        std::uint16_t port, std::string method, std::string target, header_list headers,
        std::string body);

    int status() const { return status_; }

    /// Reads until `count` tokens are there, the stream ends, or it is silent for long.
    void read_tokens(std::size_t count);

    void read_to_end() { read_tokens(SIZE_MAX); }

    /// Closes the connection in the middle.
    void leave() { stream_.reset(); }

    std::string const& text() const { return text_; }
    std::size_t tokens() const { return tokens_; }
    std::string const& last_event_id() const { return last_event_id_; }

    /// The answer came to its regular end.
    bool finished() const { return finished_; }
    std::string const& finish_reason() const { return finish_reason_; }

private:
    void take(std::string const& bytes);

    std::unique_ptr<transport::net::io_context> io_;
    std::unique_ptr<transport::http_client> client_;
    std::optional<transport::http_stream> stream_;
    int status_ = 0;
    std::string buffer_;
    std::string text_;
    std::size_t tokens_ = 0;
    std::string last_event_id_;
    std::string finish_reason_;
    bool finished_ = false;
};

} // namespace auburnweir::tests

#endif
