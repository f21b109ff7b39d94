#ifndef AUBURNWEIR_STATE_REPORT_RESPONSE_HPP
#define AUBURNWEIR_STATE_REPORT_RESPONSE_HPP

#include "state/instance_report.hpp"

namespace auburnweir::state
{

/// How far the holder has read the operators' rows.
struct operator_rows_status
{
    row_version newest; ///< of the rows
    duration age{0};    ///< since the question whose answer said that there are none newer

    friend bool operator==(operator_rows_status const&, operator_rows_status const&) = default;
};

/// The response of the holder of the duties to an instance's report.
struct report_response
{
    usage_writer holder;                   ///< the holder's life
    std::uint64_t sequence = 0;            ///< of the report that it answers
    std::uint64_t instance_count = 1;      ///< instances, the silent ones included
    std::uint64_t live_instance_count = 1; ///< instances that were heard lately
    bool holds_lease = true; ///< it has the lease; else another holder should be looked for
    quota_levels levels;     ///< as the holder sees them, that report included
    std::optional<directory_update> directory;            ///< null before the holder has read it
    std::optional<operator_rows_status> operator_rows;    ///< null before the holder has read them
    std::optional<std::chrono::milliseconds> wall_offset; ///< true time less the store's clock

    friend bool operator==(report_response const&, report_response const&) = default;
};

} // namespace auburnweir::state

#endif
