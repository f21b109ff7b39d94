#ifndef AUBURNWEIR_STATE_INSTANCE_REPORT_TABLE_HPP
#define AUBURNWEIR_STATE_INSTANCE_REPORT_TABLE_HPP

#include "state/instance_report.hpp"
#include "state/lock_rank.hpp"

#include <optional>
#include <vector>

namespace auburnweir::state
{

/// What is known of another instance: where it is, and its last report.
struct known_instance
{
    instance_id id;
    endpoint peer_address;
    time_point known_since{};
    std::optional<time_point> heard_at;
    instance_report report;         ///< empty before the first
    instance_details details;       ///< of the last report that had any
    std::uint64_t acknowledged = 0; ///< last sequence of ours that it heard
    std::optional<time_point> acknowledged_at;
};

/// The other instances of the deployment.
///
/// Thread-safe; takes `lock_rank::instance_reports`.
class instance_report_table
{
public:
    /// Makes an instance known by its address. @return true when that is news
    bool introduce(instance_id const& id, endpoint const& address, time_point now)
    {
        ranked_lock lock(mutex_);
        auto& e = entries_[id];
        bool const news = e.id.empty() || e.peer_address != address;
        if (e.id.empty())
            e.known_since = now;
        e.id = id;
        e.peer_address = address;
        return news;
    }

    /// Takes a report that is newer than the last. @return true when the instance lives anew
    bool apply(instance_report report, time_point now)
    {
        ranked_lock lock(mutex_);
        auto& e = entries_[report.id];
        bool const new_life = e.report.life != report.life;
        // Reports of an earlier life may still be on their way.
        bool const newer =
            new_life ? report.life > e.report.life : report.sequence > e.report.sequence;
        if (!newer)
            return false;
        if (e.id.empty())
            e.known_since = now;
        e.id = report.id;
        e.peer_address = report.peer_address;
        e.heard_at = now;
        if (new_life)
            e.acknowledged_at.reset();
        if (report.heard > e.acknowledged || new_life)
        {
            e.acknowledged = report.heard;
            e.acknowledged_at = now;
        }
        if (report.details)
            e.details = *report.details;
        e.report = std::move(report);
        return new_life;
    }

    /// Forgets instances that were silent for longer than `limit`, and those that stopped and
    /// were silent for longer than `stopped_limit`. @return their names
    std::vector<instance_id> expire(time_point now, duration limit, duration stopped_limit)
    {
        ranked_lock lock(mutex_);
        std::vector<instance_id> gone;
        for (auto it = entries_.begin(); it != entries_.end();)
        {
            auto const& e = it->second;
            auto const silent = now - e.heard_at.value_or(e.known_since);
            auto const allowed = e.report.stopping ? stopped_limit : limit;
            if (silent <= allowed)
            {
                ++it;
                continue;
            }
            gone.push_back(it->first);
            it = entries_.erase(it);
        }
        return gone;
    }

    std::vector<known_instance> all() const
    {
        ranked_lock lock(mutex_);
        std::vector<known_instance> result;
        for (auto const& [id, e] : entries_)
            result.push_back(e);
        return result;
    }

private:
    mutable ranked_mutex mutex_{lock_rank::instance_reports};
    std::map<instance_id, known_instance> entries_;
};

} // namespace auburnweir::state

#endif
