#include "coordination/duty_lease.hpp"

namespace auburnweir::coordination
{

bool usage_is_due(usage_progress const& progress, usage_settings const& settings)
{
    if (progress.reported_through.count() + 1 >= progress.current.count())
        return false;
    if (progress.since_end >= settings.max_wait)
        return true;
    bool const all_counted = progress.counted_instances >= progress.known_instances;
    return all_counted && progress.since_end >= settings.min_wait;
}

} // namespace auburnweir::coordination
