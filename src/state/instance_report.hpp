#ifndef AUBURNWEIR_STATE_INSTANCE_REPORT_HPP
#define AUBURNWEIR_STATE_INSTANCE_REPORT_HPP

#include "state/configuration.hpp"
#include "state/directory_log.hpp"
#include "state/ids.hpp"
#include "state/time.hpp"
#include "state/usage_table.hpp"

#include <map>
#include <optional>

namespace auburnweir::state
{

/// What an instance took of one organisation's limit, in units of the limit.
struct quota_use
{
    double charged = 0;   ///< granted since the process began, but for grants of its own part alone
    double unsettled = 0; ///< the part of `charged` that no view of a holder has included yet

    friend bool operator==(quota_use const&, quota_use const&) = default;
};

using quota_uses = std::map<organisation_id, quota_use>;

/// Units of each organisation's limit that are left.
using quota_levels = std::map<organisation_id, double>;

/// The slower part of a report, which does not come with each.
struct instance_details
{
    std::chrono::milliseconds wall_offset{0}; ///< own wall clock less the store's steady clock
    std::chrono::milliseconds usage_complete_until{
        0}; ///< true time up to which `usage` is complete
    usage_by_window usage;

    friend bool operator==(instance_details const&, instance_details const&) = default;
};

/// Periodic report of an instance to the holder of the duties.
struct instance_report
{
    instance_id id;
    incarnation_number incarnation;
    failure_domain_id failure_domain;
    endpoint peer_address;
    std::uint64_t sequence = 0; ///< grows with each report of a life
    bool stopping = false;
    directory_version directory{0};         ///< last directory update applied; 0: none
    incarnation_number directory_holder{0}; ///< life of the holder that counts them
    bool isolated = false; ///< no holder answers it: it keeps to its own part of limits
    quota_uses uses;
    std::optional<instance_details> details;

    friend bool operator==(instance_report const&, instance_report const&) = default;
};

} // namespace auburnweir::state

#endif
