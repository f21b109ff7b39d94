#ifndef AUBURNWEIR_TRANSPORT_EVACUATION_RECORDER_HPP
#define AUBURNWEIR_TRANSPORT_EVACUATION_RECORDER_HPP

#include "transport/gateway_context.hpp"

#include <string_view>

namespace auburnweir::transport
{

/// Counts and logs the evacuations that began or ended at this instance.
/// @param source  that told this instance: `store` or `holder`
void record_evacuations(
    gateway_context& context, state::evacuation_change const& change, std::string_view source);

} // namespace auburnweir::transport

#endif
