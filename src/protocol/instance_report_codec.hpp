#ifndef AUBURNWEIR_PROTOCOL_INSTANCE_REPORT_CODEC_HPP
#define AUBURNWEIR_PROTOCOL_INSTANCE_REPORT_CODEC_HPP

#include "protocol/element_reader.hpp"
#include "state/instance_report.hpp"
#include "state/report_response.hpp"

namespace auburnweir::protocol
{

/// Appends a report's elements to a message array.
void append_report(nlohmann::json& out, state::instance_report const& report);

/// @throws malformed_message
state::instance_report read_report(element_reader& in);

/// Appends a report response's elements to a message array.
void append_report_response(nlohmann::json& out, state::report_response const& response);

/// @throws malformed_message
state::report_response read_report_response(element_reader& in);

} // namespace auburnweir::protocol

#endif
