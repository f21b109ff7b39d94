#ifndef AUBURNWEIR_TRANSPORT_GATEWAY_CONTEXT_HPP
#define AUBURNWEIR_TRANSPORT_GATEWAY_CONTEXT_HPP

#include "transport/activity_count.hpp"
#include "transport/caller_connections.hpp"
#include "transport/control_store.hpp"
#include "transport/fleet_api.hpp"
#include "transport/gateway_tables.hpp"
#include "transport/platform_format.hpp"
#include "transport/request_dialect.hpp"
#include "transport/shared_clock.hpp"
#include "transport/timer_service.hpp"
#include "transport/worker_pool.hpp"

#include <atomic>

namespace auburnweir::transport
{

/// Phase of an orderly stop of the process.
enum class stop_phase : std::uint8_t
{
    running,
    leaving,  ///< not ready, but requests are still accepted
    refusing, ///< new requests are refused: they could not finish in time
};

/// Ports to the platform that the program connects.
struct platform_ports
{
    request_dialect const& dialect;
    platform_format const& format;
    control_store& store;
    fleet_api& fleet;
};

/// References that the components of a gateway share.
struct gateway_context
{
    protocol::gateway_settings const& settings;
    state::incarnation_number incarnation;
    gateway_tables& tables;
    worker_pool& workers;
    timer_service& timers;
    shared_clock& clock;
    platform_ports ports;
    std::atomic<stop_phase>& phase;
    activity_count& activity; ///< requests in progress
    caller_connections& callers;
    activity_count& relayed; ///< requests in progress that this instance relays for others
};

} // namespace auburnweir::transport

#endif
