#ifndef AUBURNWEIR_TRANSPORT_CLOCK_HPP
#define AUBURNWEIR_TRANSPORT_CLOCK_HPP

#include "state/time.hpp"

namespace auburnweir::transport
{

/// Monotonic time, for decisions within this process.
inline state::time_point now()
{
    auto const since = std::chrono::steady_clock::now().time_since_epoch();
    return state::time_point{std::chrono::duration_cast<state::duration>(since)};
}

/// Wall-clock time, for records that other instances read.
inline state::wall_time wall_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace auburnweir::transport

#endif
