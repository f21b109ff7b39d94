#ifndef AUBURNWEIR_PROTOCOL_SERVICE_TEXT_HPP
#define AUBURNWEIR_PROTOCOL_SERVICE_TEXT_HPP

#include "state/configuration.hpp"
#include "state/finding.hpp"

#include <string>
#include <string_view>

namespace auburnweir::protocol
{

/// Parses the operators' INI text: organisations, failure domains, services and backend servers.
///
/// All findings are appended to `out`; a text with any finding is rejected as a whole.
/// @param file  file name to state in findings
/// @return null when there is any finding
state::configuration_ptr read_service_text(
    std::string_view text, std::string const& file, state::findings& out);

/// Markdown tables of the sections and keys with description, default and range.
std::string service_text_reference();

} // namespace auburnweir::protocol

#endif
