#ifndef AUBURNWEIR_STATE_USAGE_TABLE_HPP
#define AUBURNWEIR_STATE_USAGE_TABLE_HPP

#include "state/ids.hpp"
#include "state/lock_rank.hpp"

#include <algorithm>
#include <map>

namespace auburnweir::state
{

/// Number of a usage window; window k begins k window lengths after the epoch, in true time.
using window_number = quantity<struct window_unit, std::int64_t>;

/// Number of requests of each organisation that began to run in one window.
using usage_counts = std::map<organisation_id, std::int64_t>;
using usage_by_window = std::map<window_number, usage_counts>;

/// Identifies one incarnation of one instance; each counts usage on its own.
struct instance_incarnation
{
    instance_id id;
    incarnation_number incarnation;

    friend auto operator<=>(instance_incarnation const&, instance_incarnation const&) = default;
};

/// Counts of all writers. Merging takes the maximum of each count, as counts only grow, and is
/// therefore commutative and idempotent.
using usage_by_writer = std::map<window_number, std::map<instance_incarnation, usage_counts>>;

/// Requests that began to run, by window, counting instance and organisation.
///
/// Thread-safe; takes `lock_rank::usage`.
class usage_table
{
public:
    /// @param max_windows  number of windows kept; the oldest are removed
    explicit usage_table(std::size_t max_windows)
        : max_windows_(max_windows)
    {
    }

    void record(
        instance_incarnation const& self, window_number window, organisation_id const& organisation)
    {
        ranked_lock lock(mutex_);
        ++counts_[window][self][organisation];
        remove_old_windows();
    }

    void merge(instance_incarnation const& writer, usage_by_window const& counts)
    {
        ranked_lock lock(mutex_);
        for (auto const& [window, by_organisation] : counts)
            merge_into(counts_[window][writer], by_organisation);
        remove_old_windows();
    }

    void merge(usage_by_writer const& counts)
    {
        ranked_lock lock(mutex_);
        for (auto const& [window, writers] : counts)
            for (auto const& [writer, by_organisation] : writers)
                merge_into(counts_[window][writer], by_organisation);
        remove_old_windows();
    }

    /// Counts of one writer in the newest windows.
    usage_by_window newest_of(instance_incarnation const& writer, std::size_t max_windows) const
    {
        ranked_lock lock(mutex_);
        usage_by_window result;
        for (auto it = counts_.rbegin(); it != counts_.rend() && max_windows > 0;
             ++it, --max_windows)
            if (auto const own = it->second.find(writer); own != it->second.end())
                result[it->first] = own->second;
        return result;
    }

    usage_by_writer since(window_number first) const
    {
        ranked_lock lock(mutex_);
        return {counts_.lower_bound(first), counts_.end()};
    }

    /// Sum of all writers' counts of a window.
    usage_counts total(window_number window) const
    {
        ranked_lock lock(mutex_);
        usage_counts sum;
        auto const it = counts_.find(window);
        if (it == counts_.end())
            return sum;
        for (auto const& [writer, by_organisation] : it->second)
            for (auto const& [organisation, count] : by_organisation)
                sum[organisation] += count;
        return sum;
    }

private:
    static void merge_into(usage_counts& into, usage_counts const& from)
    {
        for (auto const& [organisation, count] : from)
        {
            auto& merged = into[organisation];
            merged = std::max(merged, count);
        }
    }

    void remove_old_windows()
    {
        while (counts_.size() > max_windows_)
            counts_.erase(counts_.begin());
    }

    std::size_t max_windows_;
    mutable ranked_mutex mutex_{lock_rank::usage};
    usage_by_writer counts_;
};

} // namespace auburnweir::state

#endif
