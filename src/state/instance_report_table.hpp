#ifndef AUBURNWEIR_STATE_INSTANCE_REPORT_TABLE_HPP
#define AUBURNWEIR_STATE_INSTANCE_REPORT_TABLE_HPP

#include "state/instance_rank.hpp"
#include "state/instance_report.hpp"
#include "state/lock_rank.hpp"

#include <optional>
#include <vector>

namespace auburnweir::state
{

/// State of another instance, as the holder of the duties learned it from reports.
struct reporting_instance
{
    time_point last_report_at{};
    instance_report report;
    instance_details details; ///< of the last report that carried details
};

/// Instances that report to this instance while it holds the duties.
///
/// Thread-safe; takes `lock_rank::instance_reports`.
class instance_report_table
{
public:
    /// Stores a report that is newer than the stored one.
    /// @return true when the report is the first of its incarnation
    bool apply(instance_report report, time_point now)
    {
        ranked_lock lock(mutex_);
        auto const previous = entries_.find(report.id);
        bool const first = previous == entries_.end();
        bool const new_incarnation =
            first || previous->second.report.incarnation != report.incarnation;
        auto& e = entries_[report.id];
        // Reports of an earlier incarnation may arrive late.
        bool const newer = new_incarnation ? first || report.incarnation > e.report.incarnation
                                           : report.sequence > e.report.sequence;
        if (!newer)
            return false;
        e.last_report_at = now;
        if (report.details)
            e.details = *report.details;
        e.report = std::move(report);
        return new_incarnation;
    }

    void clear()
    {
        ranked_lock lock(mutex_);
        entries_.clear();
    }

    /// Removes instances that have been silent for longer than `max_silence`, or
    /// `max_silence_stopping` when they reported that they stop. @return their ids
    std::vector<instance_id> expire(
        time_point now, duration max_silence, duration max_silence_stopping)
    {
        ranked_lock lock(mutex_);
        std::vector<instance_id> expired;
        for (auto it = entries_.begin(); it != entries_.end();)
        {
            auto const& e = it->second;
            auto const silent = now - e.last_report_at;
            auto const allowed = e.report.stopping ? max_silence_stopping : max_silence;
            if (silent <= allowed)
            {
                ++it;
                continue;
            }
            expired.push_back(it->first);
            it = entries_.erase(it);
        }
        return expired;
    }

    /// Position of an instance among the sorted ids of those that report and of `own`, this
    /// instance, which does not report to itself.
    instance_rank rank_of(instance_id const& id, instance_id const& own) const
    {
        ranked_lock lock(mutex_);
        auto const reporting_before = std::distance(entries_.begin(), entries_.lower_bound(id));
        instance_rank result;
        result.rank = static_cast<std::uint64_t>(reporting_before) + (own < id ? 1 : 0);
        result.count = entries_.size() + 1;
        return result;
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
