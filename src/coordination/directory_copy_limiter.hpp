#ifndef AUBURNWEIR_COORDINATION_DIRECTORY_COPY_LIMITER_HPP
#define AUBURNWEIR_COORDINATION_DIRECTORY_COPY_LIMITER_HPP

#include "state/ids.hpp"
#include "state/time.hpp"

#include <map>

namespace auburnweir::coordination
{

/// Limits of the copies of the directory that the holder of the duties sends.
struct directory_copy_limits
{
    double servers_per_second = 8000; ///< in all copies; some 6 Mbit/s
    /// Time for an instance to report that it has applied a copy; until then it gets none.
    state::duration repeat_interval = std::chrono::milliseconds{1500};
};

/// Decides which instances get a copy of the whole directory from its holder.
///
/// Answers the pattern in which all instances ask a new holder at once: without a limit, copies
/// fill the holder's link, and changes that the others must learn in time wait behind them. An
/// instance that gets no copy reads the store itself. Changes alone are never held back.
///
/// Not thread-safe. Never reads a clock.
class directory_copy_limiter
{
public:
    explicit directory_copy_limiter(directory_copy_limits limits = {})
        : limits_(limits)
        , tokens_(limits.servers_per_second)
    {
    }

    /// Whether a copy with this number of servers may be sent now; it then counts as sent.
    bool try_send(state::instance_id const& to, std::size_t servers, state::time_point now);

private:
    void refill(state::time_point now);

    directory_copy_limits limits_;
    double tokens_; ///< servers that may be sent now; negative after a copy larger than that
    state::time_point refilled_at_{};
    std::map<state::instance_id, state::time_point> sent_at_;
};

} // namespace auburnweir::coordination

#endif
