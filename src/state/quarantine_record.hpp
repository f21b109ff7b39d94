#ifndef AUBURNWEIR_STATE_QUARANTINE_RECORD_HPP
#define AUBURNWEIR_STATE_QUARANTINE_RECORD_HPP

#include "state/segment_evidence.hpp"

namespace auburnweir::state
{

/// Row for instances that start when none is left that knows the verdicts in force and the crashes
/// that may lead to others.
struct quarantine_record
{
    wall_time saved_at; ///< on the clock of the lease times
    segment_observations evidence;

    friend bool operator==(quarantine_record const&, quarantine_record const&) = default;
};

} // namespace auburnweir::state

#endif
