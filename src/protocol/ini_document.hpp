#ifndef AUBURNWEIR_PROTOCOL_INI_DOCUMENT_HPP
#define AUBURNWEIR_PROTOCOL_INI_DOCUMENT_HPP

#include "state/finding.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace auburnweir::protocol
{

struct ini_entry
{
    std::string key;
    std::string value;
    int line;
};

/// One `[kind name]` section; `name` is empty for `[kind]`.
struct ini_section
{
    std::string kind;
    std::string name;
    int line;
    std::vector<ini_entry> entries;

    /// `kind name`, as in the section's header.
    std::string title() const;
};

using ini_document = std::vector<ini_section>;

/// Maximum length of a line, in bytes.
constexpr std::size_t max_ini_line_bytes = 199;

/// Splits an INI text into sections, with line numbers.
///
/// Keys outside of any section, lines without `=` and lines that are too long are findings.
/// @param file  file name to state in findings
ini_document parse_ini(std::string_view text, std::string const& file, state::findings& out);

} // namespace auburnweir::protocol

#endif
