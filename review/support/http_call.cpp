#include "support/http_call.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/http.hpp>

namespace auburnweir::review
{

namespace http = boost::beast::http;
using boost::system::error_code;

http_connection::http_connection(endpoint to)
    : to_(std::move(to))
    , io_(1)
    , stream_(io_)
{
}

template <class Start>
bool http_connection::run(Start start)
{
    error_code result = boost::asio::error::operation_aborted;
    start([&result](error_code error, auto...) { result = error; });
    io_.restart();
    io_.run();
    return !result;
}

call_response http_connection::call(call_request const& request, std::chrono::milliseconds timeout)
{
    call_response received;
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(http::field::host, to_.host + ":" + std::to_string(to_.port));
    for (auto const& [name, value] : request.headers)
        message.set(name, value);
    message.body() = request.body;
    message.prepare_payload();
    http::response_parser<http::string_body> parser;

    stream_.expires_after(timeout);
    if (!stream_.socket().is_open())
    {
        buffer_.clear();
        boost::asio::ip::tcp::endpoint const address{
            boost::asio::ip::make_address(to_.host), to_.port};
        if (!run([&](auto done) { stream_.async_connect(address, done); }))
        {
            stream_.close();
            return received;
        }
    }
    bool const answered = run([&](auto done) { http::async_write(stream_, message, done); }) &&
                          run([&](auto done) { http::async_read(stream_, buffer_, parser, done); });
    if (!answered)
    {
        stream_.close();
        return received;
    }
    auto response = parser.release();
    if (!response.keep_alive())
        stream_.close();
    received.status = response.result_int();
    received.headers = response.base();
    received.body = std::move(response.body());
    return received;
}

call_response call_once(
    endpoint const& to, call_request const& request, std::chrono::milliseconds timeout)
{
    return http_connection(to).call(request, timeout);
}

} // namespace auburnweir::review
