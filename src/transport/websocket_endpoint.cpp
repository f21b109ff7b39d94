#include "transport/websocket_endpoint.hpp"

#include <map>
#include <thread>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace auburnweir::transport
{

namespace
{

/// Read buffers smaller than the library's 16 KiB, because an instance has hundreds of idle links.
template <class Base>
struct small_buffers : Base
{
    using type = small_buffers<Base>;
    using base = Base;
    static constexpr std::size_t connection_read_buffer_size = 2048;
};

using server = websocketpp::server<small_buffers<websocketpp::config::asio>>;
using client = websocketpp::client<small_buffers<websocketpp::config::asio_client>>;
using handle = websocketpp::connection_hdl;
using io_context = boost::asio::io_context;

constexpr int listen_backlog = 128;

} // namespace

class websocket_endpoint::implementation
{
public:
    implementation(callbacks on, std::size_t max_frame_bytes)
        : on_(std::move(on))
        , guard_(boost::asio::make_work_guard(io_))
    {
        prepare(server_, max_frame_bytes, false);
        prepare(client_, max_frame_bytes, true);
        server_.set_reuse_addr(true);
        server_.set_listen_backlog(listen_backlog);
    }

    std::uint16_t listen(std::string const& host, std::uint16_t port)
    {
        websocketpp::lib::error_code error;
        boost::asio::ip::tcp::endpoint const address{boost::asio::ip::make_address(host), port};
        server_.listen(address, error);
        if (error)
            return 0;
        server_.start_accept(error);
        boost::system::error_code address_error;
        auto const local = server_.get_local_endpoint(address_error);
        return error || address_error ? 0 : local.port();
    }

    void start()
    {
        thread_ = std::thread([this] { run(); });
    }

    void stop()
    {
        post(
            [this]
            {
                websocketpp::lib::error_code ignored;
                if (server_.is_listening())
                    server_.stop_listening(ignored);
                guard_.reset();
                io_.stop();
            });
        if (thread_.joinable())
            thread_.join();
    }

    connection_number connect(std::string const& host, std::uint16_t port)
    {
        auto const number = next_number();
        auto const bracketed = host.find(':') == std::string::npos ? host : "[" + host + "]";
        auto const uri = "ws://" + bracketed + ":" + std::to_string(port) + "/peer";
        post([this, number, uri] { open_connection(number, uri); });
        return number;
    }

    void send(connection_number to, std::string frame)
    {
        post(
            [this, to, frame = std::move(frame)]
            {
                auto const it = links_.find(to);
                if (it == links_.end())
                    return;
                websocketpp::lib::error_code ignored;
                if (it->second.outbound)
                    client_.send(
                        it->second.connection, frame, websocketpp::frame::opcode::binary, ignored);
                else
                    server_.send(
                        it->second.connection, frame, websocketpp::frame::opcode::binary, ignored);
            });
    }

    void close(connection_number which)
    {
        post(
            [this, which]
            {
                auto const it = links_.find(which);
                if (it == links_.end())
                    return;
                constexpr auto code = websocketpp::close::status::policy_violation;
                websocketpp::lib::error_code ignored;
                if (it->second.outbound)
                    client_.close(it->second.connection, code, "", ignored);
                else
                    server_.close(it->second.connection, code, "", ignored);
            });
    }

    void set_max_frame_bytes(connection_number of, std::size_t bytes)
    {
        auto const it = links_.find(of);
        if (it == links_.end())
            return;
        websocketpp::lib::error_code error;
        if (it->second.outbound)
        {
            auto const connection = client_.get_con_from_hdl(it->second.connection, error);
            if (connection)
                connection->set_max_message_size(bytes);
        }
        else if (auto const connection = server_.get_con_from_hdl(it->second.connection, error))
            connection->set_max_message_size(bytes);
    }

    void post(std::function<void()> task) { boost::asio::post(io_, std::move(task)); }

private:
    struct link
    {
        handle connection;
        bool outbound;
    };

    void run()
    {
        for (;;)
        {
            try
            {
                io_.run();
                return;
            }
            catch (std::exception const& error)
            {
                on_.failed(error.what());
            }
        }
    }

    connection_number next_number()
    {
        std::lock_guard<std::mutex> lock(number_mutex_);
        return ++last_number_;
    }

    template <class Endpoint>
    void prepare(Endpoint& endpoint, std::size_t max_frame_bytes, bool outbound)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        endpoint.init_asio(&io_);
        endpoint.set_max_message_size(max_frame_bytes);
        endpoint.set_tcp_post_init_handler(
            [&endpoint](handle h)
            {
                boost::system::error_code ignored;
                endpoint.get_con_from_hdl(h)->get_raw_socket().set_option(
                    boost::asio::ip::tcp::no_delay(true), ignored);
            });
        endpoint.set_open_handler([this, outbound](handle h) { on_open(h, outbound); });
        endpoint.set_close_handler([this](handle h) { on_end(h); });
        endpoint.set_fail_handler([this](handle h) { on_end(h); });
        endpoint.set_message_handler(
            [this](handle h, typename Endpoint::message_ptr message)
            {
                auto const it = numbers_.find(h);
                if (it != numbers_.end())
                    on_.received(it->second, message->get_payload());
            });
    }

    void open_connection(connection_number number, std::string const& uri)
    {
        websocketpp::lib::error_code error;
        auto const connection = client_.get_connection(uri, error);
        if (error)
        {
            on_.closed(number);
            return;
        }
        numbers_[connection->get_handle()] = number;
        client_.connect(connection);
    }

    void on_open(handle const& h, bool outbound)
    {
        if (!outbound)
            numbers_[h] = next_number();
        auto const number = numbers_[h];
        links_[number] = {h, outbound};
        on_.opened(number, outbound);
    }

    void on_end(handle const& h)
    {
        auto const it = numbers_.find(h);
        if (it == numbers_.end())
            return;
        auto const number = it->second;
        numbers_.erase(it);
        links_.erase(number);
        on_.closed(number);
    }

    callbacks on_;
    io_context io_{1};
    boost::asio::executor_work_guard<io_context::executor_type> guard_;
    server server_;
    client client_;
    std::thread thread_;
    std::mutex number_mutex_;
    connection_number last_number_ = 0;
    std::map<handle, connection_number, std::owner_less<handle>> numbers_;
    std::map<connection_number, link> links_;
};

websocket_endpoint::websocket_endpoint(callbacks on, std::size_t max_frame_bytes)
    : implementation_(std::make_unique<implementation>(std::move(on), max_frame_bytes))
{
}

websocket_endpoint::~websocket_endpoint()
{
    stop();
}

std::uint16_t websocket_endpoint::listen(std::string const& host, std::uint16_t port)
{
    return implementation_->listen(host, port);
}

void websocket_endpoint::start()
{
    implementation_->start();
}

void websocket_endpoint::stop()
{
    implementation_->stop();
}

void websocket_endpoint::set_max_frame_bytes(connection_number of, std::size_t bytes)
{
    implementation_->set_max_frame_bytes(of, bytes);
}

connection_number websocket_endpoint::connect(std::string const& host, std::uint16_t port)
{
    return implementation_->connect(host, port);
}

void websocket_endpoint::send(connection_number to, std::string frame)
{
    implementation_->send(to, std::move(frame));
}

void websocket_endpoint::close(connection_number which)
{
    implementation_->close(which);
}

void websocket_endpoint::post(std::function<void()> task)
{
    implementation_->post(std::move(task));
}

} // namespace auburnweir::transport
