#ifndef AUBURNWEIR_COORDINATION_PLACEMENT_KIND_HPP
#define AUBURNWEIR_COORDINATION_PLACEMENT_KIND_HPP

#include <cstdint>

namespace auburnweir::coordination
{

/// Servers among which a request was placed.
enum class placement_scope : std::uint8_t
{
    deployment, ///< all permitted servers of the service
    subset      ///< the few servers that this instance uses
};

/// How the server of a request was chosen.
struct placement_kind
{
    placement_scope scope = placement_scope::subset;
    bool left_lane = false; ///< no server of the request's lane was left

    friend bool operator==(placement_kind const&, placement_kind const&) = default;
};

} // namespace auburnweir::coordination

#endif
