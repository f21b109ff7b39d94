#ifndef AUBURNWEIR_PROTOCOL_METRICS_TEXT_HPP
#define AUBURNWEIR_PROTOCOL_METRICS_TEXT_HPP

#include "state/counters.hpp"

#include <string>

namespace auburnweir::protocol
{

/// All counters in Prometheus' text format.
std::string encode_metrics(state::counters const& all);

/// Appends one gauge.
void append_gauge(std::string& out, std::string const& name, double value);

} // namespace auburnweir::protocol

#endif
