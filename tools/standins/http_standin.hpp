#ifndef AUBURNWEIR_STANDINS_HTTP_STANDIN_HPP
#define AUBURNWEIR_STANDINS_HTTP_STANDIN_HPP

#include "protocol/json.hpp"
#include "transport/asio.hpp"
#include "transport/async_signal.hpp"
#include "transport/response_writer.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

/// Processes that replace backend servers and the platform in tests.
namespace auburnweir::standins
{

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using nlohmann::json;
using response_headers = decltype(transport::caller_response::headers);

/// A request to a stand-in.
struct standin_request
{
    std::string method;
    std::string target;
    http::fields headers;
    std::string body;

    std::string header(char const* name) const
    {
        auto const value = headers[name];
        return std::string{value.data(), value.size()};
    }
};

/// The connection that a handler responds on.
struct standin_connection
{
    transport::response_writer& writer;
    beast::tcp_stream& stream;
    std::string& last_exchange; ///< what the handler keeps of the request before this one

    /// Closes the connection with a TCP reset.
    void reset()
    {
        boost::system::error_code ignored;
        stream.socket().set_option(net::socket_base::linger(true, 0), ignored);
        stream.socket().close(ignored);
    }
};

using standin_handler = std::function<net::awaitable<void>(standin_request, standin_connection&)>;

/// Runs an HTTP/1.1 server on loopback until SIGTERM; prints `listening port=N` when ready.
/// @param port  0 selects a free port
/// @return the exit code of the process; 1 when the port cannot be opened
int run_standin(net::io_context& io, std::uint16_t port, standin_handler handler);

/// Bytes that are sent until the other end closes the connection.
struct endless_bytes
{
    std::string start; ///< once, in place of a response's header
    std::string part;  ///< again and again
    std::chrono::milliseconds pause{0};
};

/// Sends bytes as they are, without framing, until the other end closes the connection.
net::awaitable<void> send_without_end(
    net::io_context& io, standin_connection& to, endless_bytes bytes);

/// Decodes `endless`, `endless_start` and `endless_pause_ms` of a control request; null when
/// `endless` is empty.
std::optional<endless_bytes> decode_endless(json const& control);

/// Sends a response with a JSON body.
/// @return false when the response could not be written
net::awaitable<bool> send_json(
    standin_connection& to, int status, json const& body, response_headers headers = {});

/// Sends a response without a body.
/// @return false when the response could not be written
net::awaitable<bool> send_status(standin_connection& to, int status, response_headers headers = {});

} // namespace auburnweir::standins

#endif
