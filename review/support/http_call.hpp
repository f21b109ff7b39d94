#ifndef AUBURNWEIR_REVIEW_HTTP_CALL_HPP
#define AUBURNWEIR_REVIEW_HTTP_CALL_HPP

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/fields.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace auburnweir::review
{

using header_list = std::vector<std::pair<std::string, std::string>>;

struct endpoint
{
    std::string host;
    std::uint16_t port = 0;
};

struct call_request
{
    std::string method = "POST";
    std::string target = "/";
    header_list headers;
    std::string body;
};

struct call_response
{
    int status = 0; ///< 0: no complete response
    boost::beast::http::fields headers;
    std::string body;
};

/// A blocking connection of a client.
class http_connection
{
public:
    explicit http_connection(endpoint to);

    /// Connects if the connection is closed, sends a request and waits for its response. The
    /// connection stays open unless the response closes it or the call fails.
    call_response call(call_request const& request, std::chrono::milliseconds timeout);

private:
    template <class Start>
    bool run(Start start);

    endpoint to_;
    boost::asio::io_context io_;
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
};

/// Sends one request on a new connection.
call_response call_once(
    endpoint const& to, call_request const& request,
    std::chrono::milliseconds timeout = std::chrono::seconds{5});

} // namespace auburnweir::review

#endif
