#ifndef AUBURNWEIR_SOAK_PLAN_HPP
#define AUBURNWEIR_SOAK_PLAN_HPP

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace auburnweir::soak
{

/// Number of processes and length of one run.
struct soak_size
{
    int gateways = 4;
    int backends = 4;
    int callers = 10;      ///< threads that send requests one after the other
    int length_ms = 15000; ///< of the time with faults
};

/// SIGKILL, and a start after `down_ms`.
struct kill_gateway
{
    int gateway;
    int down_ms;
};

/// SIGSTOP and SIGCONT.
struct pause_gateway
{
    int gateway;
    int for_ms;
};

/// SIGTERM, and a start after its end.
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
    reset,   ///< what is open is cut
    refused, ///< cut, and nothing new is accepted
    silent,  ///< nothing passes in either direction
    one_way, ///< answers do not pass
};

/// A fault of the proxy between two processes.
struct harm_link
{
    link_kind kind;
    int index; ///< of the gateway, or of the backend
    link_fault fault;
    int for_ms;
};

enum class store_fault : std::uint8_t
{
    down,
    slow,
    answers_lost,
    history_dropped
};

struct harm_store
{
    store_fault fault;
    int for_ms;
};

enum class backend_fault : std::uint8_t
{
    failing, ///< answers 500
    full,    ///< says that it has not run the request
    cut,     ///< runs the request and breaks the connection off
    torn,    ///< breaks streams off in the middle of an event
    slow
};

struct harm_backend
{
    int backend;
    backend_fault fault;
    int for_ms;
};

/// A backend leaves the directory's list of ready ones and comes back as a new life.
struct drain_backend
{
    int backend;
    int for_ms;
};

/// The key of an organisation is taken away, and another one is in force.
struct change_key
{
};

/// A configuration with a further route.
struct add_route
{
};

using soak_fault = std::variant<
    kill_gateway, pause_gateway, stop_gateway, harm_link, harm_store, harm_backend, drain_backend,
    change_key, add_route>;

struct planned_fault
{
    int at_ms; ///< from the start of the callers
    soak_fault what;
};

/// Faults in order of time; the same for the same seed and size. They come in series and overlap.
std::vector<planned_fault> plan_faults(std::uint64_t seed, soak_size const& size);

std::string to_text(planned_fault const& fault);

} // namespace auburnweir::soak

#endif
