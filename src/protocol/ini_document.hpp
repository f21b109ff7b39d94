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

    /// `kind name`, as in the text.
    std::string title() const;
};

using ini_document = std::vector<ini_section>;

/// Longest line that the INI reader takes, in bytes.
constexpr std::size_t ini_line_limit = 199;

/// Splits an INI text into sections, with line numbers.
///
/// Lines outside any section, lines without `=` and over-long lines are findings.
/// @param file  name for findings
ini_document parse_ini(std::string_view text, std::string const& file, state::findings& out);

} // namespace auburnweir::protocol

#endif
