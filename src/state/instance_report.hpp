#ifndef AUBURNWEIR_STATE_INSTANCE_REPORT_HPP
#define AUBURNWEIR_STATE_INSTANCE_REPORT_HPP

#include "state/acknowledged_state.hpp"
#include "state/configuration.hpp"
#include "state/directory_log.hpp"
#include "state/ids.hpp"
#include "state/segment_evidence.hpp"
#include "state/server_rating.hpp"
#include "state/time.hpp"
#include "state/usage_table.hpp"

#include <map>
#include <optional>
#include <set>

namespace auburnweir::state
{

/// An instance's use of one organisation's quota, in units of the quota.
struct quota_use
{
    /// Units granted since the process began, except from the local share while isolated.
    double charged = 0;
    double unsettled = 0; ///< portion of `charged` that no report response has included yet

    friend bool operator==(quota_use const&, quota_use const&) = default;
};

using quota_uses = std::map<organisation_id, quota_use>;

/// Units left of each organisation's quota.
using quota_levels = std::map<organisation_id, double>;

/// Details that only some of the reports carry.
struct instance_details
{
    std::chrono::milliseconds wall_offset{0}; ///< wall clock minus the store's steady clock
    /// True time up to which `usage` is complete.
    std::chrono::milliseconds usage_complete_until{0};
    usage_by_window usage;
    /// Requests accepted since the process began; null when it knows of no limited server.
    std::optional<std::uint64_t> requests;

    friend bool operator==(instance_details const&, instance_details const&) = default;
};

/// Periodic report of an instance to the holder of the duties.
struct instance_report
{
    instance_id id;
    incarnation_number incarnation;
    failure_domain_id failure_domain;
    endpoint peer_address;
    std::uint64_t sequence = 0; ///< grows with each report of an incarnation
    bool stopping = false;
    directory_version directory{0};         ///< last directory update applied; 0: none
    incarnation_number directory_holder{0}; ///< incarnation of the holder that assigned `directory`
    directory_digest digest{0}; ///< of the instance's directory, from whatever source it has it
    bool isolated = false;      ///< gets no response from a holder and grants only its local shares
    quota_uses uses;
    std::optional<instance_details> details;
    segment_observations segments;
    acknowledged_state acknowledged;
    rating_version ratings; ///< last rating update applied from `directory_holder`; 0: none
    server_observations observations;
    /// Port of `peer_address`'s host for requests to be relayed; 0: this instance relays none.
    std::uint16_t relay_port = 0;
    std::set<service_id> unreachable; ///< services of which it reaches no server

    friend bool operator==(instance_report const&, instance_report const&) = default;
};

} // namespace auburnweir::state

#endif
