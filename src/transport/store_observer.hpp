#ifndef AUBURNWEIR_TRANSPORT_STORE_OBSERVER_HPP
#define AUBURNWEIR_TRANSPORT_STORE_OBSERVER_HPP

#include "transport/gateway_context.hpp"

namespace auburnweir::transport
{

/// Records the store's era and clock that a response names, and logs a new era.
/// @return false when the response is from an earlier era and must not be used
bool observe_store(gateway_context& context, row_listing const& response);
bool observe_store(gateway_context& context, write_applied const& response);

} // namespace auburnweir::transport

#endif
