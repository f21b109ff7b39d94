#ifndef AUBURNWEIR_STATE_DEPLOYMENT_VIEW_HPP
#define AUBURNWEIR_STATE_DEPLOYMENT_VIEW_HPP

#include "state/instance_report.hpp"

namespace auburnweir::state
{

/// What the holder of the duties tells each instance in answer to its report.
struct deployment_view
{
    usage_writer from;          ///< the holder's life
    std::uint64_t sequence = 0; ///< of the report that it answers
    std::uint64_t known = 1;    ///< instances, the silent ones included
    std::uint64_t live = 1;     ///< instances that were heard lately
    consumed_units consumed;    ///< by the others, since the holder first heard of each
    std::optional<directory_news> directory;              ///< null before the holder has read it
    std::optional<std::chrono::milliseconds> wall_offset; ///< true time less the store's clock

    friend bool operator==(deployment_view const&, deployment_view const&) = default;
};

} // namespace auburnweir::state

#endif
