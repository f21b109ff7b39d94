#include "transport/caller_listener.hpp"

#include "transport/async_signal.hpp"

namespace auburnweir::transport
{

namespace
{
constexpr state::duration accept_retry_delay = std::chrono::milliseconds{50};
} // namespace

caller_listener::caller_listener(
    worker_pool& workers, connection_handler on_connection, exhaustion_handler on_exhaustion)
    : workers_(workers)
    , on_connection_(std::move(on_connection))
    , on_exhaustion_(std::move(on_exhaustion))
    , acceptor_(workers.at(0).io())
{
}

std::uint16_t caller_listener::listen(state::endpoint const& address)
{
    error_code error;
    tcp::endpoint const local{net::ip::make_address(address.host, error), address.port};
    if (!error)
        acceptor_.open(local.protocol(), error);
    if (!error)
        acceptor_.set_option(net::socket_base::reuse_address(true), error);
    if (!error)
        acceptor_.bind(local, error);
    if (!error)
        acceptor_.listen(net::socket_base::max_listen_connections, error);
    if (error)
        return 0;
    return acceptor_.local_endpoint().port();
}

void caller_listener::start()
{
    net::co_spawn(workers_.at(0).io(), run(), net::detached);
}

void caller_listener::close()
{
    net::post(
        workers_.at(0).io(),
        [this]
        {
            error_code ignored;
            acceptor_.close(ignored);
        });
}

net::awaitable<void> caller_listener::run()
{
    while (acceptor_.is_open())
    {
        auto& w = workers_.next();
        tcp::socket socket(w.io());
        error_code error;
        co_await acceptor_.async_accept(socket, net::redirect_error(net::use_awaitable, error));
        if (error == net::error::no_descriptors && on_exhaustion_)
            on_exhaustion_();
        if (error)
        {
            co_await sleep_for(workers_.at(0).io(), accept_retry_delay);
            continue;
        }
        socket.set_option(tcp::no_delay(true), error);
        net::post(
            w.io(), [this, &w, s = std::make_shared<tcp::socket>(std::move(socket))]
            { on_connection_(w, std::move(*s)); });
    }
}

} // namespace auburnweir::transport
