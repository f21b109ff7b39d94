#ifndef AUBURNWEIR_PROTOCOL_SERVICE_TEXT_HPP
#define AUBURNWEIR_PROTOCOL_SERVICE_TEXT_HPP

#include "state/configuration.hpp"
#include "state/finding.hpp"

#include <string>
#include <string_view>

namespace auburnweir::protocol
{

/// Reads the operators' INI text: organisations, failure domains, services and backend servers.
///
/// All findings of the text are appended to `out`; any finding means that nothing is taken.
/// @param file  name for findings
/// @return null when there is any finding
state::configuration_ptr read_service_text(
    std::string_view text, std::string const& file, state::findings& out);

/// The sections and keys of the text with description, default and range, as Markdown tables.
std::string service_text_reference();

} // namespace auburnweir::protocol

#endif
