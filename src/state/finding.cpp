#include "state/finding.hpp"

namespace auburnweir::state
{

std::string to_text(findings const& all)
{
    std::string text;
    for (auto const& f : all)
        text += f.file + ":" + std::to_string(f.line) + ": " + f.key + ": " + f.reason + "\n";
    return text;
}

} // namespace auburnweir::state
