#ifndef AUBURNWEIR_STATE_DEPLOYMENT_VIEW_HPP
#define AUBURNWEIR_STATE_DEPLOYMENT_VIEW_HPP

#include "state/instance_report.hpp"

namespace auburnweir::state
{

/// The response of the holder of the duties to an instance's report.
struct deployment_view
{
    usage_writer from;                         ///< the holder's life
    std::uint64_t sequence = 0;                ///< of the report that it answers
    std::uint64_t known = 1;                   ///< instances, the silent ones included
    std::uint64_t live = 1;                    ///< instances that were heard lately
    quota_levels levels;                       ///< as the holder sees them, that report included
    std::optional<directory_update> directory; ///< null before the holder has read it
    std::optional<std::chrono::milliseconds> wall_offset; ///< true time less the store's clock

    friend bool operator==(deployment_view const&, deployment_view const&) = default;
};

} // namespace auburnweir::state

#endif
