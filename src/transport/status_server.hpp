#ifndef AUBURNWEIR_TRANSPORT_STATUS_SERVER_HPP
#define AUBURNWEIR_TRANSPORT_STATUS_SERVER_HPP

#include "transport/caller_listener.hpp"
#include "transport/reply_writer.hpp"

#include <functional>

namespace auburnweir::transport
{

/// Small HTTP server for one path: readiness probes or metrics.
class status_server
{
public:
    using answer = std::function<caller_reply()>;

    status_server(worker_pool& workers, std::string path, answer on_request);

    /// @return the port, or 0 when the address can't be had
    std::uint16_t listen(state::endpoint const& address) { return listener_.listen(address); }

    void start() { listener_.start(); }

private:
    static net::awaitable<void> serve(
        std::shared_ptr<beast::tcp_stream> stream, std::string path, answer on_request);

    caller_listener listener_;
};

} // namespace auburnweir::transport

#endif
