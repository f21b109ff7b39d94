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
    net::awaitable<void> read_lists();
    void take_instances(std::vector<state::instance> const& list);
    void take_notice(protocol::reclaim_notice const& notice);
    void note_reachable(bool reachable);
    void resize_admission();

    entry_context& context_;
    worker& home_;
    std::function<void(state::duration)> on_own_notice_;
    std::uint64_t revision_ = 0;
    bool polling_ = false;
    bool reachable_ = true;
    bool own_notice_ = false;
    int skipped_polls_ = 0;
};

} // namespace auburnweir::transport

#endif
