#ifndef AUBURNWEIR_TRANSPORT_REQUEST_ERROR_HPP
#define AUBURNWEIR_TRANSPORT_REQUEST_ERROR_HPP

#include "state/reasons.hpp"
#include "transport/asio.hpp"

namespace auburnweir::transport
{

/// Why a request that could not be read is refused.
inline state::refusal_reason refusal_reason_for(error_code const& fault)
{
    using r = state::refusal_reason;
    if (fault == beast::error::timeout)
        return r::sender_too_slow;
    if (fault == http::error::header_limit || fault == http::error::buffer_overflow)
        return r::header_too_large;
    if (fault == http::error::body_limit)
        return r::body_too_large;
    return r::malformed_request;
}

/// The other side closed or reset the connection: there is nobody to answer.
inline bool is_disconnect(error_code const& fault)
{
    return fault == http::error::end_of_stream || fault == http::error::partial_message ||
           fault == net::error::eof || fault == net::error::connection_reset ||
           fault == net::error::operation_aborted || fault == net::error::broken_pipe;
}

} // namespace auburnweir::transport

#endif
