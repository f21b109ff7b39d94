#ifndef AUBURNWEIR_STATE_INSTANCE_REPORT_TABLE_HPP
#define AUBURNWEIR_STATE_INSTANCE_REPORT_TABLE_HPP

#include "state/instance_report.hpp"
#include "state/lock_rank.hpp"

#include <optional>
#include <vector>

namespace auburnweir::state
{

/// What the holder of the duties knows of another instance.
struct reporting_instance
{
    time_point last_report_at{};
    instance_report report;
    instance_details details; ///< of the last report that had any
};

/// Instances that report to this one, which holds the duties.
///
/// Thread-safe; takes `lock_rank::instance_reports`.
class instance_report_table
{
public:
    /// Takes a report that is newer than the last. @return true when the instance is new
    bool apply(instance_report report, time_point now)
    {
        ranked_lock lock(mutex_);
        auto const known = entries_.find(report.id);
        bool const first = known == entries_.end();
        bool const new_life = first || known->second.report.incarnation != report.incarnation;
        auto& e = entries_[report.id];
        // Reports of an earlier life may still be on their way.
        bool const newer = new_life ? first || report.incarnation > e.report.incarnation
                                    : report.sequence > e.report.sequence;
        if (!newer)
            return false;
        e.last_report_at = now;
        if (report.details)
            e.details = *report.details;
        e.report = std::move(report);
        return new_life;
    }

    void clear()
    {
        ranked_lock lock(mutex_);
        entries_.clear();
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
            auto const silent = now - e.last_report_at;
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

    std::vector<reporting_instance> all() const
    {
        ranked_lock lock(mutex_);
        std::vector<reporting_instance> result;
        for (auto const& [id, e] : entries_)
            result.push_back(e);
        return result;
    }

private:
    mutable ranked_mutex mutex_{lock_rank::instance_reports};
    std::map<instance_id, reporting_instance> entries_;
};

} // namespace auburnweir::state

#endif
