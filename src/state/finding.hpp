#ifndef AUBURNWEIR_STATE_FINDING_HPP
#define AUBURNWEIR_STATE_FINDING_HPP

#include <string>
#include <vector>

namespace auburnweir::state
{

/// One mistake in a settings text and its position.
struct finding
{
    std::string file;
    int line; ///< from 1; 0 when the mistake belongs to no line
    std::string key;
    std::string reason;

    friend bool operator==(finding const&, finding const&) = default;
};

using findings = std::vector<finding>;

/// Formats findings as `file:line: key: reason`, one per line.
std::string to_text(findings const& all);

} // namespace auburnweir::state

#endif
