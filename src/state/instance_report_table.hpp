#ifndef AUBURNWEIR_STATE_INSTANCE_REPORT_TABLE_HPP
#define AUBURNWEIR_STATE_INSTANCE_REPORT_TABLE_HPP

#include "state/instance_report.hpp"
#include "state/lock_rank.hpp"

#include <optional>
#include <vector>

namespace auburnweir::state
{

/// The newest report of each instance and when this instance saw it change.
///
/// Thread-safe; takes `lock_rank::instance_reports`.
class instance_report_table
{
public:
    /// @return true when the instance is new or lives anew
    bool apply(instance_report report, time_point now)
    {
        ranked_lock lock(mutex_);
        auto& e = entries_[report.id];
        bool const new_life = e.report.id.empty() || e.report.life != report.life;
        bool const newer = new_life || report.sequence > e.report.sequence;
        if (!newer)
            return false;
        e.report = std::move(report);
        e.changed_at = now;
        return new_life;
    }

    /// Reports that changed at most `limit` ago.
    std::vector<instance_report> live(time_point now, duration limit) const
    {
        ranked_lock lock(mutex_);
        std::vector<instance_report> result;
        for (auto const& [id, e] : entries_)
            if (now - e.changed_at <= limit)
                result.push_back(e.report);
        return result;
    }

    std::vector<instance_report> all() const
    {
        ranked_lock lock(mutex_);
        std::vector<instance_report> result;
        for (auto const& [id, e] : entries_)
            result.push_back(e.report);
        return result;
    }

    std::optional<instance_report> of(instance_id const& id) const
    {
        ranked_lock lock(mutex_);
        auto const it = entries_.find(id);
        if (it == entries_.end())
            return std::nullopt;
        return it->second.report;
    }

private:
    struct entry
    {
        instance_report report;
        time_point changed_at{};
    };

    mutable ranked_mutex mutex_{lock_rank::instance_reports};
    std::map<instance_id, entry> entries_;
};

} // namespace auburnweir::state

#endif
