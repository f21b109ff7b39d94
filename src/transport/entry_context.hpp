#ifndef AUBURNWEIR_TRANSPORT_ENTRY_CONTEXT_HPP
#define AUBURNWEIR_TRANSPORT_ENTRY_CONTEXT_HPP

#include "coordination/outlier_detector.hpp"
#include "coordination/prefix_index.hpp"
#include "coordination/retry_policy.hpp"
#include "coordination/router.hpp"
#include "coordination/subset_cache.hpp"
#include "protocol/entry_settings.hpp"
#include "state/backend_table.hpp"
#include "state/configuration_table.hpp"
#include "state/counters.hpp"
#include "state/instance_table.hpp"
#include "state/journal.hpp"
#include "transport/activity_count.hpp"
#include "transport/admission_gate.hpp"
#include "transport/ledger_store.hpp"
#include "transport/peer_links.hpp"
#include "transport/timer_service.hpp"
#include "transport/worker_pool.hpp"

#include <atomic>

namespace auburnweir::transport
{

/// Tables shared by all workers of an entry instance. Each has its own lock and lock rank.
struct entry_tables
{
    explicit entry_tables(protocol::entry_settings const& settings);

    state::configuration_table configuration;
    state::backend_table backends;
    state::instance_table instances;
    state::journal_table journals;
    state::counters counters;
    coordination::prefix_index prefixes;
    coordination::router router;
    coordination::retry_policy retries;
    coordination::outlier_detector outliers;
    coordination::subset_cache subsets;
    admission_gate admission;
};

/// Random tag for a new generation of an answer.
state::generation_tag new_generation_tag();

/// Shared objects of an entry instance for its handlers; owned by `entry_server`.
struct entry_context
{
    protocol::entry_settings const& settings;
    state::instance self;
    entry_tables& tables;
    worker_pool& workers;
    timer_service& timers;
    peer_links& peers;
    ledger_store& ledger;
    activity_count& activity;
    std::atomic<bool>& stopping;         ///< the readiness check fails
    std::atomic<bool>& refuses_requests; ///< new requests are refused on open connections too

    platform_client platform(worker& w) const
    {
        return {w.http(), settings.platform, settings.store_timeout};
    }

    /// Backend servers of a service that this instance may send new requests to.
    std::vector<state::backend_view> candidates(state::service_id const& service) const;

    /// Records a failed call to a backend server, and ejects the server if it fails too often.
    void record_failure(state::backend_view const& backend) const;

    /// Marks a backend server as leaving. A new mark is sent on to some of the other instances.
    void mark_leaving(
        state::backend_id const& backend, std::optional<state::duration> time_left,
        std::mt19937_64& random) const;
};

} // namespace auburnweir::transport

#endif
