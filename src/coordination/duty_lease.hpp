#ifndef AUBURNWEIR_COORDINATION_DUTY_LEASE_HPP
#define AUBURNWEIR_COORDINATION_DUTY_LEASE_HPP

#include "coordination/order_lease.hpp"
#include "state/fleet.hpp"
#include "state/usage_table.hpp"

#include <map>
#include <optional>

namespace auburnweir::coordination
{

/// A window's report that is to be made, written before it is made so that any later holder
/// repeats it exactly.
struct pending_usage
{
    state::window_number window;
    state::usage_counts counts;

    friend bool operator==(pending_usage const&, pending_usage const&) = default;
};

/// Row of the lease on the duties, with what a successor needs to go on.
struct duty_record
{
    state::lease_record lease;
    state::endpoint holder_address;        ///< for the other instances' reports
    state::window_number reported_through; ///< all windows up to it are reported
    std::optional<pending_usage> pending;
    state::usage_by_writer usage;      ///< counts of the windows that are not reported yet
    state::fleet_counts initial_fleet; ///< engines that the operators began with

    friend bool operator==(duty_record const&, duty_record const&) = default;
};

/// Which window is to be reported next, if any.
struct usage_progress
{
    state::window_number reported_through;
    state::window_number current; ///< the window that runs now
    state::duration since_end{0}; ///< of the window after `reported_through`; negative: it runs
    bool all_counted = false;     ///< every known instance has counted past that window's end
};

/// Limits of usage reports.
struct usage_settings
{
    state::duration least_wait = std::chrono::milliseconds{800}; ///< for requests just begun
    state::duration longest_wait = std::chrono::seconds{5};      ///< for instances that are silent
};

/// Whether the window after `reported_through` can be reported now.
bool usage_is_due(usage_progress const& progress, usage_settings const& settings = {});

} // namespace auburnweir::coordination

#endif
