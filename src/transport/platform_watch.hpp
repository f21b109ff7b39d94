#ifndef AUBURNWEIR_TRANSPORT_PLATFORM_WATCH_HPP
#define AUBURNWEIR_TRANSPORT_PLATFORM_WATCH_HPP

#include "transport/entry_context.hpp"

#include <functional>

namespace auburnweir::transport
{

/// Reads the platform's instance list and notices, and takes leaving marks from them.
///
/// Runs on the home worker. While the platform does not answer, what was last heard stays.
class platform_watch
{
public:
    /// @param on_own_notice  called once when this instance is to stop, with the time left
    platform_watch(entry_context& context, std::function<void(state::duration)> on_own_notice);

    /// Reads once. Call it regularly.
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
