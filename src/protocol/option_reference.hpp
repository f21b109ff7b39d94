#ifndef AUBURNWEIR_PROTOCOL_OPTION_REFERENCE_HPP
#define AUBURNWEIR_PROTOCOL_OPTION_REFERENCE_HPP

#include "protocol/option_table.hpp"

#include <string>

namespace auburnweir::protocol
{

/// Markdown table of one section's options for docs/OPERATIONS.md.
template <class Target>
std::string option_reference(std::string const& title, option_table<Target> const& table)
{
    std::string page = "### `[" + title +
                       "]`\n\n| key | meaning | default | range |\n"
                       "| --- | --- | --- | --- |\n";
    for (auto const& o : table)
    {
        auto const default_text = o.required ? "required" : o.default_value;
        page += "| `" + o.key + "` | " + o.description + " | " + default_text + " | " +
                o.range_text + " |\n";
    }
    return page + "\n";
}

} // namespace auburnweir::protocol

#endif
