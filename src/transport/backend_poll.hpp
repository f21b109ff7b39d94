#ifndef AUBURNWEIR_TRANSPORT_BACKEND_POLL_HPP
#define AUBURNWEIR_TRANSPORT_BACKEND_POLL_HPP

#include "protocol/engine_codec.hpp"
#include "transport/entry_context.hpp"

#include <cstdint>
#include <unordered_map>

namespace auburnweir::transport
{

/// Reads load, leaving state and cache events of this instance's engines, one engine at a time.
///
/// Most load reports ride on answers; this serves engines that get little traffic. Runs on the
/// home worker.
class backend_poll
{
public:
    explicit backend_poll(entry_context& context);

    /// Asks the engine whose turn it is. Call it regularly.
    void poll();

private:
    net::awaitable<void> read_status(state::backend_id id, state::endpoint address);
    void take_events(state::backend_id const& id, std::vector<protocol::cache_event> const& events);

    entry_context& context_;
    worker& home_;
    std::size_t turn_ = 0;
    std::unordered_map<state::backend_id, std::uint64_t> last_event_;
};

} // namespace auburnweir::transport

#endif
