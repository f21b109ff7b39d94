#ifndef AUBURNWEIR_PROTOCOL_INSTANCE_REPORT_CODEC_HPP
#define AUBURNWEIR_PROTOCOL_INSTANCE_REPORT_CODEC_HPP

#include "protocol/element_reader.hpp"
#include "state/deployment_view.hpp"
#include "state/instance_report.hpp"

namespace auburnweir::protocol
{

/// Appends a report's elements to a message array.
void append_report(nlohmann::json& out, state::instance_report const& report);

/// @throws malformed_message
state::instance_report read_report(element_reader& in);

/// Appends a report response's elements to a message array.
void append_report_response(nlohmann::json& out, state::deployment_view const& response);

/// @throws malformed_message
state::deployment_view read_report_response(element_reader& in);

} // namespace auburnweir::protocol

#endif
