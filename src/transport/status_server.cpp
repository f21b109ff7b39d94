#include "transport/status_server.hpp"

namespace auburnweir::transport
{

namespace
{

constexpr state::duration idle_limit = std::chrono::seconds{30};
constexpr state::duration write_limit = std::chrono::seconds{2};

auto into(error_code& fault)
{
    return net::redirect_error(net::use_awaitable, fault);
}

} // namespace

status_server::status_server(worker_pool& workers, answers by_path)
    : listener_(
          workers,
          [shared = std::make_shared<answers const>(std::move(by_path))](
              worker& home, tcp::socket socket)
          {
              auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
              net::co_spawn(home.io(), serve(std::move(stream), shared), net::detached);
          })
{
}

net::awaitable<void> status_server::serve(
    std::shared_ptr<beast::tcp_stream> stream, std::shared_ptr<answers const> by_path)
{
    beast::flat_buffer buffer;
    response_writer writer(*stream, write_limit);
    io_timeout read_limit(*stream);
    for (;;)
    {
        http::request<http::empty_body> request;
        error_code fault;
        read_limit.begin(idle_limit);
        co_await http::async_read(*stream, buffer, request, into(fault));
        read_limit.end();
        if (fault)
            co_return;
        writer.keep_alive(request.keep_alive());
        caller_response reply;
        auto const target = request.target();
        auto const known = by_path->find(std::string{target.data(), target.size()});
        if (known != by_path->end())
            reply = known->second();
        else
            reply.status = 404;
        if (!co_await writer.send(std::move(reply)) || !writer.keeps_alive())
            co_return;
    }
}

} // namespace auburnweir::transport
