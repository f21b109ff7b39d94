#ifndef AUBURNWEIR_COORDINATION_DIRECTORY_UPDATE_LIMITER_HPP
#define AUBURNWEIR_COORDINATION_DIRECTORY_UPDATE_LIMITER_HPP

#include "state/directory_log.hpp"
#include "state/ids.hpp"
#include "state/time.hpp"

#include <map>

namespace auburnweir::coordination
{

/// Limits of the directory updates that the holder of the duties sends.
struct directory_update_limits
{
    std::size_t min_large = 300;      ///< servers; an update with as many is large, as is a copy
    double servers_per_second = 8000; ///< in large updates; some 6 Mbit/s
    /// Time after which an update that was not acknowledged counts as lost with its link.
    state::duration acknowledgement_timeout = std::chrono::milliseconds{1500};
};

/// Decides when the holder sends an instance changes of the directory, or a copy of it.
///
/// Answers the pattern in which all instances ask a new holder at once, or many servers start or
/// leave: updates that are sent again before they have arrived fill the holder's link, and the
/// servers that leave, which the others must learn of in time, wait behind the repetitions.
/// An instance that gets no large update reads the store itself, whose link is wider.
///
/// Not thread-safe. Never reads a clock.
class directory_update_limiter
{
public:
    explicit directory_update_limiter(directory_update_limits limits = {})
        : limits_(limits)
        , servers_(limits.servers_per_second)
    {
    }

    /// Whether an instance that has acknowledged this version may get an update now: not while one
    /// may still be on its way.
    bool may_send(
        state::instance_id const& to, state::directory_version acknowledged,
        state::time_point now) const;

    /// Whether an update may be sent now as far as its size goes; it then counts as sent.
    /// @param is_copy  the update has the whole directory
    bool try_send(std::size_t servers, bool is_copy, state::time_point now);

    void record_sent(
        state::instance_id const& to, state::directory_version version, state::time_point now);

private:
    struct sent_update
    {
        state::directory_version version;
        state::time_point at{};
    };

    directory_update_limits limits_;
    double servers_; ///< that may be sent now; negative after an update larger than that
    state::time_point refilled_at_{};
    std::map<state::instance_id, sent_update> sent_;
};

} // namespace auburnweir::coordination

#endif
