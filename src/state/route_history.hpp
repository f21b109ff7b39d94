#ifndef AUBURNWEIR_STATE_ROUTE_HISTORY_HPP
#define AUBURNWEIR_STATE_ROUTE_HISTORY_HPP

#include "state/route_set.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace auburnweir::state
{

/// In which version of the configuration each active route was added, as seen by this process.
///
/// A route is known by its host and prefix, so a change of its service or limits adds nothing.
/// Not thread-safe.
class route_history
{
public:
    /// Records a version that becomes active.
    /// @return the number of routes that it adds; 0 for the first version
    std::size_t record(route_set const& routes);

    /// The version that added an active route; null for routes of the first version.
    std::optional<configuration_version> added_in(route const& r) const;

private:
    bool has_first_version_ = false;
    /// By host and prefix; null for routes of the first version.
    std::unordered_map<std::string, std::optional<configuration_version>> added_in_;
};

} // namespace auburnweir::state

#endif
