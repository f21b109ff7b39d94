#ifndef AUBURNWEIR_TRANSPORT_REQUEST_DIALECT_HPP
#define AUBURNWEIR_TRANSPORT_REQUEST_DIALECT_HPP

#include "coordination/liveness_check.hpp"
#include "state/forwarded_request.hpp"
#include "state/route_set.hpp"
#include "state/server_table.hpp"
#include "transport/http_client.hpp"

#include <optional>

namespace auburnweir::transport
{

/// Values of the headers that the gateway sets on a request to a backend server.
struct gateway_headers
{
    state::backend_id expected_backend; ///< other servers refuse the request
    std::optional<state::organisation_id> organisation;
    state::duration time_left{0};
    std::optional<int> priority; ///< 0 is the most urgent
    std::string resume_after;    ///< id of the last event received; empty for a new stream
};

/// Values of the headers that a backend server sets on a response.
struct backend_headers
{
    std::string request;  ///< id of the request that it answers; empty when not stated
    bool not_run = false; ///< the server states that it has not run the request and will not
    bool leaving = false; ///< the server states that it takes no more requests in its lifetime
    std::optional<state::server_load> load;
    std::optional<state::request_rate> rate_limit; ///< that the server takes from all instances
    std::optional<state::duration> cold_for; ///< for which the server stays cold; null: unstated
    /// When the server, which turned the request away, wants something from this instance again.
    std::optional<state::return_time> returns;
    int malformed_statements = 0; ///< values that the server names of itself and can't be used
    /// The same for its load, which has no effect on its other statements.
    int malformed_loads = 0;
};

/// Port: how requests and responses carry the gateway's values in their headers.
class request_dialect
{
public:
    virtual ~request_dialect() = default;

    /// Decodes a caller's headers. @return null with `error` set when the request can't be
    /// forwarded
    virtual std::optional<state::forwarded_request> decode(
        http_fields const& headers, std::string& error) const = 0;

    /// Encodes the headers for the backend server: the caller's without those of the connection
    /// and those that only the gateway sets, followed by the gateway's own.
    virtual http_headers encode(
        http_fields const& from_caller, state::forwarded_request const& request,
        gateway_headers const& own) const = 0;

    /// The headers of a request that another instance has encoded and this one relays.
    virtual http_headers pass_on(http_fields const& relayed) const = 0;

    virtual backend_headers decode_response(int status, http_fields const& headers) const = 0;

    /// Encodes the headers for the caller: the backend server's without those of the connection.
    virtual http_headers encode_response(http_fields const& from_server) const = 0;

    /// A request that every server of a service answers at once and that runs no work of callers.
    /// Servers other than `server` refuse it. Null when the service offers none.
    virtual std::optional<http_request> liveness_question(
        state::routed_service const& service, state::backend_id const& server,
        state::request_id const& id) const = 0;

    /// What a response to such a request tells of the server and its listed lifetime.
    virtual coordination::question_result read_liveness_answer(
        state::listed_server const& server, http_response const& response) const = 0;

    /// Headers that identify the request in a response that the gateway itself creates.
    virtual http_headers own_response_headers(state::forwarded_request const& request) const = 0;
};

} // namespace auburnweir::transport

#endif
