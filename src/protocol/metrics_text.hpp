#ifndef AUBURNWEIR_PROTOCOL_METRICS_TEXT_HPP
#define AUBURNWEIR_PROTOCOL_METRICS_TEXT_HPP

#include "state/counters.hpp"
#include "state/latency_histogram.hpp"

#include <string>

namespace auburnweir::protocol
{

/// All counters in Prometheus' text format.
std::string encode_metrics(state::counters const& counters);

/// Appends one gauge.
void append_gauge(std::string& out, std::string const& name, double value);

/// Appends a histogram with cumulative buckets.
void append_histogram(
    std::string& out, std::string const& name, state::latency_histogram const& histogram);

} // namespace auburnweir::protocol

#endif
