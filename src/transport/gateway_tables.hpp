#ifndef AUBURNWEIR_TRANSPORT_GATEWAY_TABLES_HPP
#define AUBURNWEIR_TRANSPORT_GATEWAY_TABLES_HPP

#include "coordination/placement_activation.hpp"
#include "coordination/relay_table.hpp"
#include "coordination/request_shares.hpp"
#include "coordination/retry_budget.hpp"
#include "coordination/segment_quarantine.hpp"
#include "coordination/server_rating_table.hpp"
#include "coordination/service_reach.hpp"
#include "coordination/shared_quota.hpp"
#include "protocol/gateway_settings.hpp"
#include "state/acknowledged_state.hpp"
#include "state/counters.hpp"
#include "state/directory_log.hpp"
#include "state/evacuation_table.hpp"
#include "state/instance_report_table.hpp"
#include "state/latency_histogram.hpp"
#include "state/memory_budget.hpp"
#include "state/rollout_table.hpp"
#include "state/route_table.hpp"
#include "state/server_observation_table.hpp"
#include "state/server_table.hpp"
#include "state/store_eras.hpp"
#include "state/usage_table.hpp"

namespace auburnweir::transport
{

/// Tables that the connections and components of a gateway share. Each has its own lock, see
/// `lock_rank`.
struct gateway_tables
{
    explicit gateway_tables(protocol::gateway_settings const& settings)
        : relays(settings.failure_domain)
        , placements(coordination::placement_setting_named(settings.placement))
        , quotas(granted_quota_share)
        , retry_budget(retry_limits_for(settings))
        , segment_quarantine(quarantine_settings_for(settings))
        , usage(max_usage_windows)
        , buffer_memory(state::byte_count{settings.memory_limit.count() / buffer_memory_divisor})
    {
    }

    /// Share of a quota that is granted. Half of the 10 % by which a quota may be exceeded covers
    /// instances that grant at the same time.
    static constexpr double granted_quota_share = 0.95;

    /// More windows than are due at once with the usual window and delay.
    static constexpr std::size_t max_usage_windows = 12;

    /// The memory limit divided by this is for buffered bodies; connections, tables and the program
    /// use the rest.
    static constexpr std::int64_t buffer_memory_divisor = 4;

    /// Applies until the number of instances is known.
    static constexpr double initial_retry_slack = 0;

    static coordination::retry_budget_limits retry_limits_for(protocol::gateway_settings const& s)
    {
        return {s.repeat_ratio, initial_retry_slack, s.repeat_window};
    }

    static coordination::quarantine_settings quarantine_settings_for(
        protocol::gateway_settings const& s)
    {
        coordination::quarantine_settings result;
        // The suspicion reaches all instances with their next report, their answers with the next.
        result.suspicion.settle_time = 3 * s.report_period;
        result.suspicion.report_time = s.report_period;
        result.quarantine = s.segment_quarantine;
        return result;
    }

    /// Services whose servers need ratings.
    std::set<state::service_id> services_with_uneven_placement()
    {
        return placements.uneven_services(routes.current());
    }

    state::store_eras store_eras;
    state::acknowledged_state_table acknowledged;
    state::route_table routes;
    coordination::service_reach reach;
    coordination::relay_table relays;
    state::server_table servers;
    state::evacuation_table evacuations{servers};
    state::server_observation_table server_observations;
    coordination::server_rating_table server_ratings; ///< by all instances at the holder
    state::directory_log directory_log;
    state::rollout_table rollouts;
    coordination::placement_table placements;
    coordination::shared_quota quotas;
    coordination::retry_budget retry_budget;
    coordination::segment_quarantine segment_quarantine;
    coordination::request_shares request_shares;
    state::usage_table usage;
    state::instance_report_table instance_reports;
    state::memory_budget buffer_memory;
    state::counters counters;
    state::latency_histogram first_byte_latency;    ///< from arrival to the response's first byte
    state::latency_histogram full_response_latency; ///< from arrival to the response's last byte
};

} // namespace auburnweir::transport

#endif
