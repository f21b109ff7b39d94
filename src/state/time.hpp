#ifndef AUBURNWEIR_STATE_TIME_HPP
#define AUBURNWEIR_STATE_TIME_HPP

#include <chrono>

namespace auburnweir::state
{

using duration = std::chrono::microseconds;

/// Clock type of the decisions. It has no `now`: callers pass the time in.
struct external_clock
{
    using duration = state::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<external_clock>;
    static constexpr bool is_steady = true;
};

/// Monotonic time within one process.
using time_point = external_clock::time_point;

/// Wall-clock time in milliseconds since the Unix epoch; the only time that instances compare.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

} // namespace auburnweir::state

#endif
