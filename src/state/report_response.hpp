#ifndef AUBURNWEIR_STATE_REPORT_RESPONSE_HPP
#define AUBURNWEIR_STATE_REPORT_RESPONSE_HPP

#include "state/evacuation.hpp"
#include "state/instance_rank.hpp"
#include "state/instance_report.hpp"
#include "state/relay_peer.hpp"
#include "state/store_position.hpp"
#include "state/traffic_shares.hpp"

namespace auburnweir::state
{

/// How current the holder's copy of the operator rows is.
struct operator_rows_status
{
    store_position newest; ///< of the newest row that the holder applied
    duration age{0}; ///< time since the request by which the store confirmed that none is newer
    acknowledged_state acknowledged{}; ///< highest values that any instance has told the holder

    friend bool operator==(operator_rows_status const&, operator_rows_status const&) = default;
};

/// Response of the holder of the duties to an instance's report.
struct report_response
{
    instance_incarnation holder;           ///< id and incarnation of the holder
    std::uint64_t sequence = 0;            ///< of the report that this responds to
    std::uint64_t instance_count = 1;      ///< known instances, silent ones included
    std::uint64_t live_instance_count = 1; ///< instances that reported recently
    bool holds_lease = true;               ///< false: the receiver must find another holder
    quota_levels levels; ///< at the holder, after it charged the amounts of that report
    std::optional<directory_update> directory; ///< null when unread, withheld or on its way
    /// The update is too large to be sent now: the receiver reads the store.
    bool directory_withheld = false;
    std::optional<operator_rows_status> operator_rows;    ///< null until the holder has read them
    std::optional<std::chrono::milliseconds> wall_offset; ///< true time minus store clock
    segment_verdicts segments;
    std::optional<traffic_shares> shares; ///< of the instance that reported its requests
    instance_rank rank;                   ///< of the instance that reported
    std::optional<evacuations> evacuated; ///< null until the holder has read the operator rows
    std::optional<rating_update> ratings; ///< null when there are none to send
    relay_peers relays; ///< for the services that the reporting instance does not reach

    friend bool operator==(report_response const&, report_response const&) = default;
};

} // namespace auburnweir::state

#endif
