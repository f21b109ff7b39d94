#include "transport/status_server.hpp"

namespace auburnweir::transport
{

namespace
{

constexpr state::duration idle_timeout = std::chrono::seconds{30};
constexpr state::duration write_timeout = std::chrono::seconds{2};
constexpr int status_not_found = 404;
constexpr std::size_t max_request_bytes = 16384;

auto redirect_error_to(error_code& error)
{
    return net::redirect_error(net::use_awaitable, error);
}

} // namespace

status_server::status_server(worker_pool& workers, handlers by_path)
    : listener_(
          workers,
          [shared =
               std::make_shared<handlers const>(std::move(by_path))](worker& w, tcp::socket socket)
          {
              auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
              net::co_spawn(w.io(), serve(std::move(stream), shared), net::detached);
          })
{
}

net::awaitable<void> status_server::serve(
    std::shared_ptr<beast::tcp_stream> stream, std::shared_ptr<handlers const> by_path)
{
    beast::flat_buffer buffer(max_request_bytes);
    response_writer writer(*stream, write_timeout);
    io_timeout read_timeout(*stream);
    for (;;)
    {
        http::request<http::empty_body> request;
        error_code error;
        read_timeout.begin(idle_timeout);
        co_await http::async_read(*stream, buffer, request, redirect_error_to(error));
        read_timeout.end();
        if (error)
            co_return;
        writer.keep_alive(request.keep_alive());
        caller_response response;
        auto const target = request.target();
        auto const found = by_path->find(std::string{target.data(), target.size()});
        if (found != by_path->end())
            response = found->second();
        else
            response.status = status_not_found;
        if (!co_await writer.send(std::move(response)) || !writer.keeps_alive())
            co_return;
    }
}

} // namespace auburnweir::transport
