#include "coordination/duty_lease.hpp"

namespace auburnweir::coordination
{

duty_record without_reported(duty_record record, state::window_number reported_through)
{
    if (record.reported_through >= reported_through)
        return record;
    record.reported_through = reported_through;
    if (record.pending && record.pending->window <= reported_through)
        record.pending.reset();
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
