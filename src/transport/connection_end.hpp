#ifndef AUBURNWEIR_TRANSPORT_CONNECTION_END_HPP
#define AUBURNWEIR_TRANSPORT_CONNECTION_END_HPP

#include "transport/response_writer.hpp"

namespace auburnweir::transport
{

/// Ends a caller's connection after the last response and closes it.
///
/// A connection whose body was broken off is reset if the caller recognises that by a reset alone.
/// Otherwise the sending side ends, and the connection stays open for a while until the caller ends
/// it as well, so that closing does not reset it before the caller has read the response.
/// @param unread  bytes that were received after the last request
/// @param max_delivery_time  for a caller that reads the sent bytes slowly
net::awaitable<void> end_connection(
    beast::tcp_stream& stream, response_writer const& writer, beast::flat_buffer& unread,
    state::duration max_delivery_time);

} // namespace auburnweir::transport

#endif
