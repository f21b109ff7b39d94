#ifndef AUBURNWEIR_TRANSPORT_CALLER_CONNECTION_HPP
#define AUBURNWEIR_TRANSPORT_CALLER_CONNECTION_HPP

#include "transport/caller_handler.hpp"

#include <memory>

namespace auburnweir::transport
{

/// One caller's HTTP connection: reads requests within limits and passes them to handlers.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(entry_context& context, worker& home, tcp::socket socket);

    void start();

private:
    using request_parser = http::request_parser<http::string_body>;
    using request = http::request<http::string_body>;

    net::awaitable<void> run();
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
    reply_writer writer_;
    io_limit read_timeout_;
};

} // namespace auburnweir::transport

#endif
