#ifndef AUBURNWEIR_COORDINATION_SERVER_RATING_TABLE_HPP
#define AUBURNWEIR_COORDINATION_SERVER_RATING_TABLE_HPP

#include "state/lock_rank.hpp"
#include "state/server_rating.hpp"

#include <map>
#include <optional>
#include <vector>

namespace auburnweir::coordination
{

/// Merges what the instances see of backend servers into one rating per server.
///
/// Answers the pattern of a server that becomes slow while each instance sends it a request every
/// few seconds only: no instance alone can tell it from others. The holder of the duties merges
/// the observations of all instances, the other instances merge their own alone.
///
/// The followers get the values that were published. A value is published when it has changed
/// considerably, so that ratings that stay as they are need no messages.
///
/// Bounded. Thread-safe; takes `lock_rank::server_ratings`. Never reads a clock.
class server_rating_table
{
public:
    static constexpr std::size_t max_servers = 4096;

    /// Ratings of one report response.
    static constexpr std::size_t max_per_response = 64;

    /// Values that were last observed earlier are unknown.
    static constexpr state::duration max_age = std::chrono::seconds{10};

    /// Merges what one instance has seen since its last report.
    void merge(state::server_observations const& seen, state::time_point now);

    /// Removes servers that are not listed, and earlier incarnations of those that are.
    void retain(std::map<state::backend_id, state::incarnation_number> const& listed);

    /// Ratings that were published after `base`, the oldest first. When there are more than
    /// `max_count`, the version of the update is that of its last rating.
    state::rating_update changes_since(
        state::rating_version base, std::size_t max_count, state::time_point now);

    /// The newest values of all servers.
    std::vector<state::server_rating> all(state::time_point now) const;

    std::size_t size() const;

    /// Number of observations that were not merged, as there were too many servers.
    std::uint64_t dropped() const;

private:
    /// Values as the followers get them.
    struct published_values
    {
        state::rating_version version; ///< 0: never published
        state::time_point at{};
        state::duration event_interval{0};
        std::int64_t load = 0;
        std::optional<state::time_point> load_at;
    };

    struct entry
    {
        state::incarnation_number incarnation;
        double event_interval = 0; ///< in units of `state::duration`; 0: unknown
        double weight = 0;         ///< of `event_interval`, in streams observed for a second
        state::time_point intervals_at{};
        std::optional<state::server_load> load;
        state::time_point load_at{};
        published_values published;
    };

    static void merge_intervals(
        entry& e, state::event_intervals const& seen, state::time_point now);
    static state::duration interval_of(entry const& e, state::time_point now);
    bool is_publication_due(entry const& e, state::time_point now) const;
    void publish_if_due(state::backend_id const& id, entry& e, state::time_point now);
    void publish_aged(state::time_point now);
    void remove_publication(entry const& e);

    mutable state::ranked_mutex mutex_{state::lock_rank::server_ratings};
    std::map<state::backend_id, entry> entries_;
    std::map<state::rating_version, state::backend_id> by_version_;
    state::rating_version last_version_;
    state::time_point aged_at_{};
    std::uint64_t dropped_ = 0;
};

} // namespace auburnweir::coordination

#endif
