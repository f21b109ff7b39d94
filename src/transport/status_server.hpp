#ifndef AUBURNWEIR_TRANSPORT_STATUS_SERVER_HPP
#define AUBURNWEIR_TRANSPORT_STATUS_SERVER_HPP

#include "transport/caller_listener.hpp"
#include "transport/response_writer.hpp"

#include <functional>
#include <map>

namespace auburnweir::transport
{

/// Small HTTP server for a few paths: readiness probes, metrics, status.
class status_server
{
public:
    using answer = std::function<caller_response()>;
    using answers = std::map<std::string, answer>;

    /// @param by_path  what is answered on each path; others are not found
    status_server(worker_pool& workers, answers by_path);

    /// @return the port, or 0 when the address can't be had
    std::uint16_t listen(state::endpoint const& address) { return listener_.listen(address); }

    void start() { listener_.start(); }

private:
    static net::awaitable<void> serve(
        std::shared_ptr<beast::tcp_stream> stream, std::shared_ptr<answers const> by_path);

    caller_listener listener_;
};

} // namespace auburnweir::transport

#endif
