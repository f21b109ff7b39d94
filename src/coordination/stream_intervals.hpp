#ifndef AUBURNWEIR_COORDINATION_STREAM_INTERVALS_HPP
#define AUBURNWEIR_COORDINATION_STREAM_INTERVALS_HPP

#include "state/server_rating.hpp"
#include "state/time.hpp"

#include <optional>
#include <utility>

namespace auburnweir::coordination
{

/// Measures the times between the events of one stream from a backend server, in portions that are
/// recorded while the stream runs. Streams with fewer than `min_events` events give none.
///
/// Not thread-safe; part of one stream. Never reads a clock.
class stream_intervals
{
public:
    /// Short streams are not typical of a server: they consist of its first events.
    static constexpr std::uint64_t min_events = 4;

    /// A portion is due when it has this many intervals, or after `max_portion_time`: a server that
    /// turns slow is to be seen within a second or two.
    static constexpr std::uint64_t portion_size = 8;
    static constexpr state::duration max_portion_time = std::chrono::milliseconds{250};

    /// Adds events that arrived together. The time before the first event does not count.
    /// @return a portion that is due; null when none is
    std::optional<state::event_intervals> add(std::uint64_t events, state::time_point now)
    {
        if (events == 0)
            return std::nullopt;
        if (last_at_)
        {
            pending_.count += events;
            pending_.total += now - *last_at_;
        }
        events_ += events;
        last_at_ = now;
        bool const is_due = pending_.count >= portion_size || pending_.total >= max_portion_time;
        return is_due ? take() : std::nullopt;
    }

    /// Leaves out the time until the next event, as something other than the server delays it.
    void skip_next() { last_at_.reset(); }

    /// The rest of the stream's intervals; null when there are none to record.
    std::optional<state::event_intervals> take()
    {
        if (events_ < min_events || pending_.count == 0)
            return std::nullopt;
        return std::exchange(pending_, {});
    }

private:
    std::uint64_t events_ = 0;
    std::optional<state::time_point> last_at_;
    state::event_intervals pending_;
};

} // namespace auburnweir::coordination

#endif
