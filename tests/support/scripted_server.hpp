#ifndef AUBURNWEIR_TESTS_SCRIPTED_SERVER_HPP
#define AUBURNWEIR_TESTS_SCRIPTED_SERVER_HPP

#include "transport/asio.hpp"

#include <functional>
#include <thread>

namespace auburnweir::tests
{

namespace net = boost::asio;
using tcp = net::ip::tcp;

/// A server on loopback that runs a test's script on each connection, one connection at a time.
class scripted_server
{
public:
    using script = std::function<void(tcp::socket&)>;

    explicit scripted_server(script on_connection)
        : acceptor_(io_, {net::ip::make_address("127.0.0.1"), 0})
        , thread_(
              [this, on_connection]
              {
                  for (;;)
                  {
                      tcp::socket socket(io_);
                      boost::system::error_code error;
                      acceptor_.accept(socket, error);
                      if (error || stopping_)
                          return;
                      ++connections_;
                      on_connection(socket);
                  }
              })
    {
    }

    ~scripted_server()
    {
        stopping_ = true;
        // Unblocks `accept`.
        boost::system::error_code ignored;
        tcp::socket wake(io_);
        wake.connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    int connections() const { return connections_; }

    /// Reads a request up to the end of its header.
    static std::string read_request_header(tcp::socket& socket)
    {
        std::string text;
        boost::system::error_code error;
        net::read_until(socket, net::dynamic_buffer(text), "\r\n\r\n", error);
        return text;
    }

    static void send(tcp::socket& socket, std::string const& bytes)
    {
        boost::system::error_code error;
        net::write(socket, net::buffer(bytes), error);
    }

    /// Closes the connection with a TCP reset.
    static void reset(tcp::socket& socket)
    {
        boost::system::error_code ignored;
        socket.set_option(net::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

private:
    net::io_context io_;
    tcp::acceptor acceptor_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> connections_{0};
    std::thread thread_;
};

} // namespace auburnweir::tests

#endif
