#ifndef AUBURNWEIR_STATE_FINDING_HPP
#define AUBURNWEIR_STATE_FINDING_HPP

#include <string>
#include <vector>

namespace auburnweir::state
{

/// One fault in a settings text and its place.
struct finding
{
    std::string file;
    int line; ///< from 1; 0 when the fault has no line of its own
    std::string key;
    std::string reason;

    friend bool operator==(finding const&, finding const&) = default;
};

using findings = std::vector<finding>;

/// `file:line: key: reason`, one finding a line.
std::string to_text(findings const& all);

} // namespace auburnweir::state

#endif
