#include "coordination/duty_lease.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

state::window_number last_ended_window(state::wall_time at, state::duration window_length)
{
    return state::window_number{at.time_since_epoch() / window_length - 1};
}

duty_record continued_from_copy(duty_record record, copy_knowledge const& known)
{
    record.reported_through = std::max(record.reported_through, known.reported_through);
    if (record.pending && record.pending->window <= record.reported_through)
        record.pending.reset();
    if (!record.pending)
        record.reported_through = std::max(record.reported_through, known.ended_before_era);
    return record;
}

bool usage_is_due(usage_progress const& progress, usage_settings const& settings)
{
    if (progress.reported_through.count() + 1 >= progress.current.count())
        return false;
    bool const may_miss_reports =
        progress.since_copy_taken && *progress.since_copy_taken < settings.takeover_wait;
    if (progress.since_end >= settings.max_wait && !may_miss_reports)
        return true;
    bool const all_counted = progress.counted_instances >= progress.known_instances;
    return all_counted && progress.since_end >= settings.min_wait;
}

} // namespace auburnweir::coordination
