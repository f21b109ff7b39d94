#ifndef AUBURNWEIR_TRANSPORT_REQUEST_ERROR_HPP
#define AUBURNWEIR_TRANSPORT_REQUEST_ERROR_HPP

#include "state/reasons.hpp"
#include "transport/asio.hpp"

namespace auburnweir::transport
{

/// Reason for refusing a request whose reading failed with `error`.
inline state::refusal_reason refusal_reason_for(error_code const& error)
{
    using r = state::refusal_reason;
    if (error == beast::error::timeout)
        return r::sender_too_slow;
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return r::header_too_large;
    if (error == http::error::body_limit)
        return r::body_too_large;
    return r::malformed_request;
}

/// True when the peer has closed or reset the connection, so that no response can be sent.
inline bool is_disconnect(error_code const& error)
{
    return error == http::error::end_of_stream || error == http::error::partial_message ||
           error == net::error::eof || error == net::error::connection_reset ||
           error == net::error::operation_aborted || error == net::error::broken_pipe;
}

} // namespace auburnweir::transport

#endif
