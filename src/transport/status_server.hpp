#ifndef AUBURNWEIR_TRANSPORT_STATUS_SERVER_HPP
#define AUBURNWEIR_TRANSPORT_STATUS_SERVER_HPP

#include "transport/caller_listener.hpp"
#include "transport/response_writer.hpp"

#include <functional>
#include <map>

namespace auburnweir::transport
{

/// Small HTTP server for readiness probes, metrics and status.
class status_server
{
public:
    using handler = std::function<caller_response()>;
    using handlers = std::map<std::string, handler>;

    /// @param by_path  builds the response for each path; any other path gets status 404
    status_server(worker_pool& workers, handlers by_path);

    /// @return the port, or 0 when the address is not available
    std::uint16_t listen(state::endpoint const& address) { return listener_.listen(address); }

    void start() { listener_.start(); }

private:
    static net::awaitable<void> serve(
        std::shared_ptr<beast::tcp_stream> stream, std::shared_ptr<handlers const> by_path);

    caller_listener listener_;
};

} // namespace auburnweir::transport

#endif
