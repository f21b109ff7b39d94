#include "http_standin.hpp"
#include "protocol/option_table.hpp"

#include <map>
#include <set>

/// TCP proxy that injects faults: delays, closed connections, half-open connections, lost
/// responses, duplicated requests.
///
/// `POST /routes` adds a route to a target and returns its port; any other path sets the faults of
/// the route at `port`.

namespace
{

using namespace auburnweir;
using namespace auburnweir::standins;

constexpr std::size_t chunk_bytes = 16384;
constexpr state::duration freeze_poll_interval = std::chrono::milliseconds{5};

struct fault_settings
{
    std::int64_t delay_ms = 0; ///< added to each chunk, in both directions
    bool refuse = false;       ///< new connections are closed immediately
    bool freeze = false;       ///< connections stay open, but no data is forwarded
    bool freeze_back = false;  ///< like `freeze`, but only from the target to the client
    bool lose_answers = false; ///< responses are dropped and their connections closed
    bool duplicate = false;    ///< requests are also sent to the target on a second connection
};

struct proxied_connection
{
    explicit proxied_connection(net::io_context& io)
        : client_socket(io)
        , target_socket(io)
        , duplicate_socket(io)
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        for (auto* socket : {&client_socket, &target_socket, &duplicate_socket})
            socket->close(ignored);
    }

    tcp::socket client_socket;
    tcp::socket target_socket;
    tcp::socket duplicate_socket; ///< second connection to the target, for `duplicate`
};

using connection_ptr = std::shared_ptr<proxied_connection>;

struct route
{
    explicit route(net::io_context& io)
        : acceptor(io)
    {
    }

    tcp::acceptor acceptor;
    tcp::endpoint target;
    fault_settings injected_faults;
    std::set<connection_ptr> connections;
};

using route_ptr = std::shared_ptr<route>;

auto redirect_error_to(boost::system::error_code& error)
{
    return net::redirect_error(net::use_awaitable, error);
}

class proxy
{
public:
    explicit proxy(net::io_context& io)
        : io_(io)
    {
    }

    net::awaitable<void> handle(standin_request request, standin_connection& connection)
    {
        auto const body = protocol::parse_json(request.body);
        if (!body)
        {
            co_await send_status(connection, 400);
            co_return;
        }
        if (request.target == "/routes")
        {
            auto const port = add_route(protocol::text_at(*body, "target"));
            co_await send_json(connection, 200, port_body(port));
            co_return;
        }
        auto const it = routes_.find(static_cast<int>(protocol::integer_at(*body, "port")));
        if (it == routes_.end())
        {
            co_await send_status(connection, 404);
            co_return;
        }
        set_faults(*it->second, *body);
        co_await send_status(connection, 200);
    }

private:
    static json port_body(int port) { return {{"port", port}}; }

    /// @return the port of the new route; 0 when `target` is not an endpoint
    int add_route(std::string const& target)
    {
        auto const address = protocol::parse_endpoint(target);
        if (!address)
            return 0;
        auto r = std::make_shared<route>(io_);
        r->target = {net::ip::make_address(address->host), address->port};
        r->acceptor.open(tcp::v4());
        r->acceptor.bind({net::ip::address_v4::loopback(), 0});
        r->acceptor.listen();
        auto const port = r->acceptor.local_endpoint().port();
        routes_[port] = r;
        net::co_spawn(io_, accept(r), net::detached);
        return port;
    }

    static void set_faults(route& r, json const& body)
    {
        auto& f = r.injected_faults;
        f.delay_ms = protocol::integer_at(body, "delay_ms", f.delay_ms);
        f.refuse = protocol::flag_at(body, "refuse", f.refuse);
        f.freeze = protocol::flag_at(body, "freeze", f.freeze);
        f.freeze_back = protocol::flag_at(body, "freeze_back", f.freeze_back);
        f.lose_answers = protocol::flag_at(body, "lose_answers", f.lose_answers);
        f.duplicate = protocol::flag_at(body, "duplicate", f.duplicate);
        if (auto const target = protocol::parse_endpoint(protocol::text_at(body, "target")))
            r.target = {net::ip::make_address(target->host), target->port};
        if (protocol::flag_at(body, "cut"))
            for (auto const& p : r.connections)
                p->close();
    }

    net::awaitable<void> accept(route_ptr r)
    {
        for (;;)
        {
            auto p = std::make_shared<proxied_connection>(io_);
            boost::system::error_code error;
            co_await r->acceptor.async_accept(p->client_socket, redirect_error_to(error));
            if (error)
                co_return;
            if (r->injected_faults.refuse)
                continue;
            net::co_spawn(io_, connect(r, p), net::detached);
        }
    }

    net::awaitable<void> connect(route_ptr r, connection_ptr p)
    {
        boost::system::error_code error;
        co_await p->target_socket.async_connect(r->target, redirect_error_to(error));
        if (error)
            co_return;
        p->client_socket.set_option(tcp::no_delay(true), error);
        p->target_socket.set_option(tcp::no_delay(true), error);
        if (r->injected_faults.duplicate)
        {
            co_await p->duplicate_socket.async_connect(r->target, redirect_error_to(error));
            net::co_spawn(io_, discard_responses(p), net::detached);
        }
        r->connections.insert(p);
        net::co_spawn(io_, relay_chunks(r, p, true), net::detached);
        co_await relay_chunks(r, p, false);
        r->connections.erase(p);
    }

    net::awaitable<void> discard_responses(connection_ptr p)
    {
        std::array<char, chunk_bytes> chunk{};
        boost::system::error_code error;
        while (!error)
            co_await p->duplicate_socket.async_read_some(
                net::buffer(chunk), redirect_error_to(error));
    }

    net::awaitable<void> relay_chunks(route_ptr r, connection_ptr p, bool to_target)
    {
        auto& from = to_target ? p->client_socket : p->target_socket;
        auto& to = to_target ? p->target_socket : p->client_socket;
        std::vector<char> chunk(chunk_bytes);
        boost::system::error_code error;
        for (;;)
        {
            auto const received_bytes =
                co_await from.async_read_some(net::buffer(chunk), redirect_error_to(error));
            if (error)
                break;
            if (r->injected_faults.delay_ms > 0)
                co_await transport::sleep_for(
                    io_, std::chrono::milliseconds{r->injected_faults.delay_ms});
            while ((r->injected_faults.freeze || (!to_target && r->injected_faults.freeze_back)) &&
                   to.is_open())
                co_await transport::sleep_for(io_, freeze_poll_interval);
            if (!to_target && r->injected_faults.lose_answers)
                break;
            if (to_target && p->duplicate_socket.is_open())
                co_await net::async_write(
                    p->duplicate_socket, net::buffer(chunk.data(), received_bytes),
                    redirect_error_to(error));
            co_await net::async_write(
                to, net::buffer(chunk.data(), received_bytes), redirect_error_to(error));
            if (error)
                break;
        }
        p->close();
    }

    net::io_context& io_;
    std::map<int, route_ptr> routes_;
};

} // namespace

int main()
{
    net::io_context io(1);
    proxy p(io);
    return run_standin(
        io, 0,
        [&p](standin_request request, standin_connection& connection)
        { return p.handle(std::move(request), connection); });
}
