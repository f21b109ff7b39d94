#include "http_standin.hpp"

#include <csignal>
#include <iostream>

namespace auburnweir::standins
{

namespace
{

constexpr std::size_t buffer_limit = 64UL * 1024 * 1024;
constexpr state::duration write_limit = std::chrono::seconds{60};

auto into(boost::system::error_code& fault)
{
    return net::redirect_error(net::use_awaitable, fault);
}

net::awaitable<void> serve(tcp::socket socket, standin_handler const& handler)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer(buffer_limit);
    transport::response_writer writer(stream, write_limit);
    while (stream.socket().is_open() && writer.keeps_alive())
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(buffer_limit);
        boost::system::error_code fault;
        stream.expires_never();
        co_await http::async_read(stream, buffer, parser, into(fault));
        if (fault)
            co_return;
        auto request = parser.release();
        writer.keep_alive(request.keep_alive());
        standin_connection connection{writer, stream};
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
        boost::system::error_code fault;
        auto socket = co_await acceptor.async_accept(into(fault));
        if (fault)
            co_return;
        socket.set_option(tcp::no_delay(true), fault);
        net::co_spawn(executor, serve(std::move(socket), handler), net::detached);
    }
}

} // namespace

int run_standin(net::io_context& io, std::uint16_t port, standin_handler handler)
{
    tcp::acceptor acceptor(io);
    tcp::endpoint const address{net::ip::address_v4::loopback(), port};
    boost::system::error_code fault;
    acceptor.open(address.protocol(), fault);
    acceptor.set_option(net::socket_base::reuse_address(true), fault);
    acceptor.bind(address, fault);
    acceptor.listen(net::socket_base::max_listen_connections, fault);
    if (fault)
    {
        std::cerr << "can't listen: " << fault.message() << "\n";
        return 1;
    }
    net::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](boost::system::error_code, int) { io.stop(); });
    net::co_spawn(io, accept(acceptor, handler), net::detached);
    std::cout << "listening port=" << acceptor.local_endpoint().port() << std::endl;
    io.run();
    return 0;
}

net::awaitable<bool> send_json(standin_connection& to, int status, json const& body)
{
    transport::caller_response reply;
    reply.status = status;
    reply.body = protocol::dump(body);
    co_return co_await to.writer.send(std::move(reply));
}

net::awaitable<bool> send_status(standin_connection& to, int status)
{
    transport::caller_response reply;
    reply.status = status;
    reply.content_type = "text/plain";
    co_return co_await to.writer.send(std::move(reply));
}

} // namespace auburnweir::standins
