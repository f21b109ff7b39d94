#ifndef AUBURNWEIR_SOAK_PLAN_HPP
#define AUBURNWEIR_SOAK_PLAN_HPP

#include "state/body_framing.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace auburnweir::soak
{

/// Numbers of processes and callers of one run, and the duration of fault injection.
struct soak_size
{
    int gateways = 4;
    int backends = 4;
    int callers = 10;           ///< threads that send requests one after the other
    int fault_phase_ms = 15000; ///< how long faults are injected
    /// Folders of the builds that gateways change between when they start; empty: this build.
    std::vector<std::string> gateway_builds;
};

/// Kills a gateway with SIGKILL and starts it again after `down_ms`.
struct kill_gateway
{
    int gateway;
    int down_ms;
};

/// Pauses a gateway with SIGSTOP and resumes it with SIGCONT after `duration_ms`.
struct pause_gateway
{
    int gateway;
    int duration_ms;
};

/// Stops a gateway with SIGTERM and starts it again when it has exited.
struct stop_gateway
{
    int gateway;
};

enum class link_kind : std::uint8_t
{
    gateway_to_store,
    gateway_to_backend,
    caller_to_gateway
};

enum class link_fault : std::uint8_t
{
    delayed,
    reset,   ///< open connections are cut
    refused, ///< open connections are cut and new ones refused
    silent,  ///< nothing passes in either direction
    one_way, ///< responses do not pass
};

/// Injects a fault at the proxy between two processes.
struct disrupt_link
{
    link_kind kind;
    int index; ///< of the gateway; of the backend for `gateway_to_backend`
    link_fault fault;
    int duration_ms;
};

enum class store_fault : std::uint8_t
{
    down,
    slow,
    answers_lost,
    history_dropped
};

struct disrupt_store
{
    store_fault fault;
    int duration_ms;
};

/// Takes the store back to the copy that it made `lost_ms` before. The operator and the backends
/// then write again what was lost.
struct restore_store
{
    int lost_ms;
};

enum class backend_fault : std::uint8_t
{
    failing, ///< responds with status 500
    full,    ///< states that it has not run the request
    cut,     ///< runs the request and closes the connection
    torn,    ///< closes streams in the middle of an event
    slow,
    endless,        ///< sends bytes without end in place of its responses' bodies
    trickling,      ///< the same, a byte at a time
    full_endless,   ///< refuses, and sends bytes without end in its refusals' bodies
    unnamed_copies, ///< sends a refusal without a name ahead of its responses
    named_copies,   ///< sends a refusal of the connection's earlier request ahead of its responses
    cut_copies      ///< sends the start of a refusal ahead of its responses
};

struct disrupt_backend
{
    int backend;
    backend_fault fault;
    int duration_ms;
};

/// Cuts a gateway off from all backends. With `drops` new connections get no answer, else they fail
/// at once and the open ones of all gateways are reset.
struct cut_gateway
{
    int gateway;
    bool drops;
    int duration_ms;
};

/// Marks a backend as draining in the directory, then lists it as ready with a new incarnation.
struct drain_backend
{
    int backend;
    int duration_ms;
};

/// Revokes the key of an organisation and puts another one in force.
struct change_key
{
};

/// Applies a configuration with one more route.
struct add_route
{
};

/// What listens at the address of a backend after its process has ended, until the backend returns
/// as a new lifetime that the directory lists.
enum class backend_successor : std::uint8_t
{
    none,
    other_id, ///< at once; must run no request
    same_id   ///< after some ms; it is the new lifetime, which the directory lists later
};

/// What follows the end of a backend's process.
struct backend_return
{
    backend_successor successor;
    int same_id_after_ms;
    int listed_after_ms;
};

/// Ends the process of a backend with SIGKILL.
struct kill_backend
{
    int backend;
    backend_return after;
};

/// Ends the process of a backend with SIGTERM.
struct stop_backend
{
    int backend;
    backend_return after;
};

/// Pauses a backend with SIGSTOP and resumes it with SIGCONT after `duration_ms`.
struct pause_backend
{
    int backend;
    int duration_ms;
};

/// Ends the processes of all backends with SIGKILL at the same time.
struct kill_all_backends
{
    backend_return after;
};

using soak_fault = std::variant<
    kill_gateway, pause_gateway, stop_gateway, disrupt_link, disrupt_store, restore_store,
    disrupt_backend, drain_backend, change_key, add_route, cut_gateway, kill_backend, stop_backend,
    pause_backend, kill_all_backends>;

struct planned_fault
{
    int at_ms; ///< from the start of the callers
    soak_fault fault;
};

/// How a backend sends its responses.
struct backend_behaviour
{
    state::body_framing framing;
    int event_ms; ///< between two events, and between the halves of other bodies
};

/// The backends of a run.
struct backend_plan
{
    /// Gateways connect to the backends themselves, whose processes end; else they connect through
    /// the proxy, which injects faults of these links.
    bool direct;
    std::vector<backend_behaviour> behaviours; ///< by backend
};

backend_plan plan_backends(std::uint64_t seed, soak_size const& size);

/// Plans faults in order of time; the same seed and size give the same plan. Faults come in series
/// and overlap.
std::vector<planned_fault> plan_faults(std::uint64_t seed, soak_size const& size);

std::string describe(planned_fault const& planned);

} // namespace auburnweir::soak

#endif
