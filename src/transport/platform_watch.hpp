#ifndef AUBURNWEIR_TRANSPORT_PLATFORM_WATCH_HPP
#define AUBURNWEIR_TRANSPORT_PLATFORM_WATCH_HPP

#include "transport/entry_context.hpp"

#include <functional>

namespace auburnweir::transport
{

/// Polls the platform's instance list and notices, and marks instances and backend servers as
/// leaving.
///
/// Runs on worker 0. While the platform does not respond, the last state read remains in use.
class platform_watch
{
public:
    /// @param on_own_notice  called once, with the time left, when the platform reclaims this
    /// instance
    platform_watch(entry_context& context, std::function<void(state::duration)> on_own_notice);

    /// Starts one poll, if it is due. Call it periodically.
    void poll();

private:
    net::awaitable<void> read_platform_state();
    void apply_instances(std::vector<state::instance> const& list);
    void apply_notice(protocol::reclaim_notice const& notice);
    void record_reachability(bool reachable);
    void resize_admission();

    entry_context& context_;
    worker& worker_;
    std::function<void(state::duration)> on_own_notice_;
    std::uint64_t revision_ = 0;
    bool poll_in_progress_ = false;
    bool reachable_ = true;
    bool own_notice_received_ = false;
    int skipped_polls_ = 0;
};

} // namespace auburnweir::transport

#endif
