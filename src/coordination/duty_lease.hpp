#ifndef AUBURNWEIR_COORDINATION_DUTY_LEASE_HPP
#define AUBURNWEIR_COORDINATION_DUTY_LEASE_HPP

#include "coordination/order_lease.hpp"
#include "state/fleet.hpp"
#include "state/usage_table.hpp"

#include <map>
#include <optional>

namespace auburnweir::coordination
{

/// Usage report of one window, stored before it is sent so that a later holder sends exactly the
/// same report.
struct pending_usage
{
    state::window_number window;
    state::usage_counts counts;

    friend bool operator==(pending_usage const&, pending_usage const&) = default;
};

/// Row of the lease on the duties, with the state that the next holder continues from.
struct duty_record
{
    state::lease_record lease;
    state::endpoint holder_address;        ///< address that the followers report to
    state::window_number reported_through; ///< last window that is reported, as are all before it
    std::optional<pending_usage> pending;
    state::usage_by_writer usage;      ///< usage of the windows that are not reported yet
    state::fleet_counts initial_fleet; ///< on-demand engines that the operators started with

    friend bool operator==(duty_record const&, duty_record const&) = default;
};

/// State from which the holder decides whether the next usage window can be reported.
struct usage_progress
{
    state::window_number reported_through;
    state::window_number current; ///< the window that is still open
    /// Time since the end of the window after `reported_through`; negative while it is open.
    state::duration since_end{0};
    std::uint64_t counted_instances = 0; ///< whose counts extend past that window's end
    /// All instances; more than have reported to a holder that has just taken over.
    std::uint64_t known_instances = 1;
    /// Set for a holder that continues from an older copy of the lease's row: time since it took
    /// the lease. The instances' reports tell it which windows were reported since the copy.
    std::optional<state::duration> since_copy_taken{};
};

/// Wait between the end of a window and its usage report.
struct usage_settings
{
    /// Lets requests be counted that began just before the end.
    state::duration min_wait = std::chrono::milliseconds{800};
    /// Limits the wait for instances that do not report.
    state::duration max_wait = std::chrono::seconds{5};
    /// Time in which the instances' reports reach a new holder.
    state::duration takeover_wait = std::chrono::seconds{2};
};

/// What shows which windows were reported since a copy of the lease's row was made.
struct copy_knowledge
{
    state::window_number reported_through; ///< as the other instances know
    /// Last window that had ended when the store came back from the copy. A report is stored before
    /// it is sent, so no later window was reported before.
    state::window_number ended_before_era;
};

/// The last window that had ended at a time.
state::window_number last_ended_window(state::wall_time at, state::duration window_length);

/// The state that continues from a copy of the lease's row that may be older than what the store
/// has acknowledged. Windows that may have been reported since are not reported again: all that
/// ended before the store came back, whether or not an instance is left that knows of a report. A
/// report that the copy holds is repeated, as its counts can't differ.
duty_record continued_from_copy(duty_record record, copy_knowledge const& known);

/// Whether the window after `reported_through` can be reported now.
bool usage_is_due(usage_progress const& progress, usage_settings const& settings = {});

} // namespace auburnweir::coordination

#endif
