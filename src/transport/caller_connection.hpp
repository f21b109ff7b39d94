#ifndef AUBURNWEIR_TRANSPORT_CALLER_CONNECTION_HPP
#define AUBURNWEIR_TRANSPORT_CALLER_CONNECTION_HPP

#include "transport/caller_handler.hpp"

#include <memory>

namespace auburnweir::transport
{

/// HTTP connection of a caller: reads requests within size and time limits and dispatches them
/// to their handlers.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(entry_context& context, worker& home, tcp::socket socket);

    void start();

private:
    using request_parser = http::request_parser<http::string_body>;
    using request = http::request<http::string_body>;

    net::awaitable<void> run();
    /// Reads a request and responds to it. @return false when the caller has left
    net::awaitable<bool> serve_request();
    net::awaitable<bool> refuse_unreadable_request(error_code error);
    net::awaitable<bool> dispatch(request incoming);
    net::awaitable<bool> dispatch_call(
        request incoming, protocol::request_route route, protocol::request_head head);
    net::awaitable<bool> send_problem(protocol::problem p);
    net::awaitable<bool> send_text(int status, std::string text);
    std::string metrics_text() const;

    entry_context& context_;
    worker& worker_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    response_writer writer_;
    io_timeout read_timeout_;
};

} // namespace auburnweir::transport

#endif
