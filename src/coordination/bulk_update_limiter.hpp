#ifndef AUBURNWEIR_COORDINATION_BULK_UPDATE_LIMITER_HPP
#define AUBURNWEIR_COORDINATION_BULK_UPDATE_LIMITER_HPP

#include "state/ids.hpp"
#include "state/time.hpp"

#include <map>

namespace auburnweir::coordination
{

/// Limits of the directory updates that the holder of the duties sends.
struct bulk_update_limits
{
    std::size_t min_bulk_servers = 16; ///< updates with fewer servers are not limited
    double servers_per_second = 8000;  ///< in all bulk updates; some 6 Mbit/s
    /// Time for an instance to report that it has applied a bulk update; until then it gets none.
    state::duration repeat_interval = std::chrono::milliseconds{1500};
};

/// Decides which bulk updates of the directory the holder sends.
///
/// Answers the pattern in which all instances ask a new holder at once: without a limit, copies of
/// the whole directory fill the holder's link, and changes that the others must learn in time wait
/// behind them. An instance that gets no copy reads the store itself.
///
/// Not thread-safe. Never reads a clock.
class bulk_update_limiter
{
public:
    explicit bulk_update_limiter(bulk_update_limits limits = {})
        : limits_(limits)
        , tokens_(limits.servers_per_second)
    {
    }

    /// Whether an update with this number of servers may be sent now; it then counts as sent.
    bool try_send(state::instance_id const& to, std::size_t servers, state::time_point now);

private:
    void refill(state::time_point now);

    bulk_update_limits limits_;
    double tokens_; ///< servers that may be sent now; negative after an update larger than that
    state::time_point refilled_at_{};
    std::map<state::instance_id, state::time_point> sent_at_;
};

} // namespace auburnweir::coordination

#endif
