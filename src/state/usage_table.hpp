#ifndef AUBURNWEIR_STATE_USAGE_TABLE_HPP
#define AUBURNWEIR_STATE_USAGE_TABLE_HPP

#include "state/instance_report.hpp"
#include "state/lock_rank.hpp"

namespace auburnweir::state
{

/// Requests that began to run through this instance, by window and organisation.
///
/// Thread-safe; takes `lock_rank::usage`.
class usage_table
{
public:
    explicit usage_table(std::size_t windows_kept)
        : windows_kept_(windows_kept)
    {
    }

    void record(window_number window, organisation_id const& organisation)
    {
        ranked_lock lock(mutex_);
        ++counts_[window][organisation];
        while (counts_.size() > windows_kept_)
            counts_.erase(counts_.begin());
    }

    std::map<window_number, usage_counts> counts() const
    {
        ranked_lock lock(mutex_);
        return counts_;
    }

private:
    std::size_t windows_kept_;
    mutable ranked_mutex mutex_{lock_rank::usage};
    std::map<window_number, usage_counts> counts_;
};

} // namespace auburnweir::state

#endif
