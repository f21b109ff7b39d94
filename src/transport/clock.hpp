#ifndef AUBURNWEIR_TRANSPORT_CLOCK_HPP
#define AUBURNWEIR_TRANSPORT_CLOCK_HPP

#include "state/time.hpp"

#include <ctime>

namespace auburnweir::transport
{

/// Monotonic time, for decisions within this process. Unlike `std::chrono::steady_clock` it also
/// advances while the machine is suspended, so that leases expire during a suspension.
inline state::time_point now()
{
    timespec t{};
    clock_gettime(CLOCK_BOOTTIME, &t);
    return state::time_point{
        std::chrono::seconds{t.tv_sec} +
        std::chrono::duration_cast<state::duration>(std::chrono::nanoseconds{t.tv_nsec})};
}

/// Wall-clock time, for records that other instances read.
inline state::wall_time wall_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace auburnweir::transport

#endif
