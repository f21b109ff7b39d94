#ifndef AUBURNWEIR_COORDINATION_DIRECTORY_UPDATE_LIMITER_HPP
#define AUBURNWEIR_COORDINATION_DIRECTORY_UPDATE_LIMITER_HPP

#include "state/ids.hpp"
#include "state/time.hpp"

#include <map>

namespace auburnweir::coordination
{

/// Limits of the large directory updates that the holder of the duties sends.
struct directory_update_limits
{
    std::size_t min_large = 100;      ///< servers; smaller updates are not limited
    double servers_per_second = 8000; ///< in all large updates; some 6 Mbit/s
    /// Time for an instance to report that it has applied a large update; until then it gets none.
    state::duration repeat_interval = std::chrono::milliseconds{1500};
};

/// Decides which instances get a large update of the directory from its holder.
///
/// Answers the pattern in which all instances ask a new holder at once, or thousands of servers
/// start: without a limit, updates fill the holder's link, and the servers that leave, which the
/// others must learn of in time, wait behind those that do not. An instance that gets no large
/// update reads the store itself.
///
/// Not thread-safe. Never reads a clock.
class directory_update_limiter
{
public:
    explicit directory_update_limiter(directory_update_limits limits = {})
        : limits_(limits)
        , tokens_(limits.servers_per_second)
    {
    }

    /// Whether an update with this number of servers may be sent now; it then counts as sent.
    bool try_send(state::instance_id const& to, std::size_t servers, state::time_point now);

private:
    void refill(state::time_point now);

    directory_update_limits limits_;
    double tokens_; ///< servers that may be sent now; negative after an update larger than that
    state::time_point refilled_at_{};
    std::map<state::instance_id, state::time_point> sent_at_;
};

} // namespace auburnweir::coordination

#endif
