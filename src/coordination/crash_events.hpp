#ifndef AUBURNWEIR_COORDINATION_CRASH_EVENTS_HPP
#define AUBURNWEIR_COORDINATION_CRASH_EVENTS_HPP

#include "state/segment_evidence.hpp"

#include <boost/container/flat_set.hpp>
#include <map>
#include <optional>
#include <vector>

namespace auburnweir::coordination
{

/// Server processes that ended.
using crashed_servers = boost::container::flat_set<state::server_process_hash>;

/// How much the crashes of a segment say against it.
struct crash_weight
{
    /// Separate events: servers that end together may share a rack, whatever their requests.
    std::size_t events = 0;
    /// The same, but an event counts as often as servers ended in it when most of them had the
    /// segment: requests that crash servers may come at one moment.
    std::size_t servers = 0;
};

struct crash_event_settings
{
    /// Servers that end within this time of the first one belong to one event.
    state::duration grouping_time = std::chrono::milliseconds{250};
    state::duration memory = std::chrono::minutes{5};
};

/// Ends of server processes, grouped into events.
///
/// Bounded: the oldest go first. Not thread-safe; part of `segment_quarantine`.
class crash_events
{
public:
    explicit crash_events(crash_event_settings settings)
        : settings_(settings)
    {
    }

    /// @return the server whose end is forgotten, as there are too many
    std::optional<state::server_process_hash> record(
        state::server_process_hash server, state::time_point at, state::time_point now);

    /// When a server ended; null when it is not known.
    std::optional<state::time_point> ended_at(state::server_process_hash server) const;

    /// When the end of a server was recorded; null when it is not known.
    std::optional<state::time_point> recorded_at(state::server_process_hash server) const;

    crash_weight weight_of(crashed_servers const& servers) const;

    /// @return the servers whose ends are forgotten
    std::vector<state::server_process_hash> remove_expired(state::time_point now);

    /// Number of ends that were forgotten, as there were too many.
    std::uint64_t dropped() const { return dropped_; }

private:
    struct server_end
    {
        state::time_point at{};
        state::time_point recorded_at{};
        std::size_t event = 0;
    };

    void group();

    crash_event_settings settings_;
    std::map<state::server_process_hash, server_end> ends_;
    std::vector<std::size_t> event_sizes_; ///< servers by event
    std::uint64_t dropped_ = 0;
};

} // namespace auburnweir::coordination

#endif
