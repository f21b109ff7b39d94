#ifndef AUBURNWEIR_STATE_COLD_LIMIT_HPP
#define AUBURNWEIR_STATE_COLD_LIMIT_HPP

#include "state/ids.hpp"
#include "state/instance_rank.hpp"
#include "state/time.hpp"

#include <functional>
#include <map>
#include <optional>

namespace auburnweir::state
{

/// What the servers of a service tolerate while they are cold.
struct cold_service
{
    duration cold_time{0}; ///< for which a server stays cold after its start
    double per_second = 0; ///< requests that a cold server tolerates from all instances

    friend bool operator==(cold_service const&, cold_service const&) = default;
};

/// Time between two requests of the instance with this rank to a cold server; null: it sends none.
using cold_interval_rule =
    std::function<std::optional<duration>(backend_id const&, instance_rank, cold_service const&)>;

/// Services that have cold servers, and how instances share these servers.
struct cold_policy
{
    std::map<service_id, cold_service> services;
    cold_interval_rule interval_of;
    /// For which an instance that begins to own a server sends nothing to it. The earlier owners
    /// have learned meanwhile that they are none, and their last requests are a second old.
    duration settle_time{0};
};

/// Number of cold servers, and this instance's part in them.
struct cold_summary
{
    std::size_t servers = 0;
    std::size_t owned = 0;           ///< to which this instance sends
    std::uint64_t requests_sent = 0; ///< to cold servers, since the process began
};

/// The requests that this instance may send to one server while it is cold: evenly spaced, with one
/// request saved up at most.
class cold_limit
{
public:
    /// Sets the time between two requests; null: this instance does not own the server.
    /// @param settled_at  from when on a server that was not owned before may get requests
    void set_interval(std::optional<duration> interval, time_point settled_at);

    bool is_owner() const { return interval_.has_value(); }

    /// When the next request may be sent; null: never.
    std::optional<time_point> opens_at() const;

    void record_sent(time_point now) { sent_at_ = now; }

private:
    std::optional<duration> interval_;
    time_point settled_at_{};
    std::optional<time_point> sent_at_;
};

} // namespace auburnweir::state

#endif
