#include "http_standin.hpp"

#include <csignal>
#include <iostream>

namespace auburnweir::standins
{

namespace
{

constexpr std::size_t max_request_bytes = 64UL * 1024 * 1024;
constexpr state::duration write_timeout = std::chrono::seconds{60};

auto redirect_error_to(boost::system::error_code& error)
{
    return net::redirect_error(net::use_awaitable, error);
}

net::awaitable<void> serve(tcp::socket socket, standin_handler const& handler)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer(max_request_bytes);
    transport::response_writer writer(stream, write_timeout);
    std::string last_exchange;
    while (stream.socket().is_open() && writer.keeps_alive())
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_request_bytes);
        boost::system::error_code error;
        stream.expires_never();
        co_await http::async_read(stream, buffer, parser, redirect_error_to(error));
        if (error)
            co_return;
        auto request = parser.release();
        writer.keep_alive(request.keep_alive());
        standin_connection connection{writer, stream, last_exchange};
        standin_request incoming{
            std::string{request.method_string()}, std::string{request.target()}, request.base(),
            std::move(request.body())};
        co_await handler(std::move(incoming), connection);
    }
}

net::awaitable<void> accept(tcp::acceptor& acceptor, standin_handler const& handler)
{
    auto const executor = co_await net::this_coro::executor;
    for (;;)
    {
        boost::system::error_code error;
        auto socket = co_await acceptor.async_accept(redirect_error_to(error));
        if (error)
            co_return;
        socket.set_option(tcp::no_delay(true), error);
        net::co_spawn(executor, serve(std::move(socket), handler), net::detached);
    }
}

} // namespace

int run_standin(net::io_context& io, std::uint16_t port, standin_handler handler)
{
    tcp::acceptor acceptor(io);
    tcp::endpoint const address{net::ip::address_v4::loopback(), port};
    boost::system::error_code error;
    acceptor.open(address.protocol(), error);
    acceptor.set_option(net::socket_base::reuse_address(true), error);
    acceptor.bind(address, error);
    acceptor.listen(net::socket_base::max_listen_connections, error);
    if (error)
    {
        std::cerr << "cannot listen: " << error.message() << "\n";
        return 1;
    }
    net::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](boost::system::error_code, int) { io.stop(); });
    net::co_spawn(io, accept(acceptor, handler), net::detached);
    std::cout << "listening port=" << acceptor.local_endpoint().port() << std::endl;
    io.run();
    return 0;
}

net::awaitable<void> send_without_end(
    net::io_context& io, standin_connection& to, endless_bytes bytes)
{
    boost::system::error_code error;
    co_await net::async_write(
        to.stream.socket(), net::buffer(bytes.start), redirect_error_to(error));
    while (!error)
    {
        co_await net::async_write(
            to.stream.socket(), net::buffer(bytes.part), redirect_error_to(error));
        co_await transport::sleep_for(io, bytes.pause);
    }
    to.reset();
}

std::optional<endless_bytes> decode_endless(json const& control)
{
    endless_bytes bytes;
    bytes.part = protocol::text_at(control, "endless");
    bytes.start = protocol::text_at(control, "endless_start");
    bytes.pause = std::chrono::milliseconds{protocol::integer_at(control, "endless_pause_ms", 0)};
    if (bytes.part.empty())
        return std::nullopt;
    return bytes;
}

net::awaitable<bool> send_json(
    standin_connection& to, int status, json const& body, response_headers headers)
{
    transport::caller_response response;
    response.headers = std::move(headers);
    response.status = status;
    response.body = protocol::dump(body);
    co_return co_await to.writer.send(std::move(response));
}

net::awaitable<bool> send_status(standin_connection& to, int status, response_headers headers)
{
    transport::caller_response response;
    response.headers = std::move(headers);
    response.status = status;
    response.content_type = "text/plain";
    co_return co_await to.writer.send(std::move(response));
}

} // namespace auburnweir::standins
