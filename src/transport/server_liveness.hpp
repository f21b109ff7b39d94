#ifndef AUBURNWEIR_TRANSPORT_SERVER_LIVENESS_HPP
#define AUBURNWEIR_TRANSPORT_SERVER_LIVENESS_HPP

#include "transport/gateway_context.hpp"

namespace auburnweir::transport
{

/// Finds out whether a gateway's backend servers have outlived their responses.
class server_liveness
{
public:
    /// A response that ends with its connection counts as lost if it is not known for longer
    /// whether its server runs.
    static constexpr state::duration max_wait = std::chrono::seconds{1};

    server_liveness(gateway_context& context, worker& assigned_worker)
        : context_(context)
        , worker_(assigned_worker)
    {
    }

    /// Prepares for the end of a response that has begun and ends with its connection.
    void prepare(state::listed_server const& server);

    /// Whether the server has outlived a response that has just ended with its connection.
    /// @param deadline  of the request
    net::awaitable<bool> has_outlived(
        state::listed_server server, state::time_point requested_at, state::time_point deadline);

private:
    /// Null when the configuration in force has no such service, or the service no question.
    std::optional<asked_server> asked(state::listed_server const& server) const;

    gateway_context& context_;
    worker& worker_;
};

} // namespace auburnweir::transport

#endif
