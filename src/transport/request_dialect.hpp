#ifndef AUBURNWEIR_TRANSPORT_REQUEST_DIALECT_HPP
#define AUBURNWEIR_TRANSPORT_REQUEST_DIALECT_HPP

#include "state/forwarded_request.hpp"
#include "state/server_table.hpp"
#include "transport/http_client.hpp"

#include <optional>

namespace auburnweir::transport
{

/// What the gateway sets on a request to a backend server.
struct gateway_headers
{
    state::backend_id expected_backend; ///< any other server refuses the request
    std::optional<state::organisation_id> organisation;
    state::duration time_left{0};
    std::optional<int> urgency; ///< 0 is the most urgent
    std::string resume_after;   ///< event after which a stream goes on; empty at its beginning
};

/// What a backend server says about an answer.
struct response_head
{
    std::string request;  ///< the request that it answers; empty when it does not say
    bool not_run = false; ///< it states that it has not run the request and will not
    bool leaving = false; ///< its connection is to be closed
    std::optional<state::server_load> load;
};

/// Port: how requests and answers carry the gateway's matters in their headers.
class request_dialect
{
public:
    virtual ~request_dialect() = default;

    /// Reads a caller's header; null and a finding in `error` when it can't be forwarded.
    virtual std::optional<state::forwarded_request> decode(
        http_fields const& headers, std::string& error) const = 0;

    /// The header for the backend server: the caller's, less what belongs to the connection or is
    /// the gateway's to set, and what the gateway sets.
    virtual http_headers encode(
        http_fields const& from_caller, state::forwarded_request const& request,
        gateway_headers const& own) const = 0;

    virtual response_head decode_response(int status, http_fields const& headers) const = 0;

    /// The answer's header for the caller, less what belongs to the connection.
    virtual http_headers encode_response(http_fields const& from_server) const = 0;

    /// Names the request in an answer of the gateway's own.
    virtual http_headers own_response_headers(state::forwarded_request const& request) const = 0;
};

} // namespace auburnweir::transport

#endif
