#ifndef AUBURNWEIR_TRANSPORT_ENGINE_POLLER_HPP
#define AUBURNWEIR_TRANSPORT_ENGINE_POLLER_HPP

#include "protocol/engine_codec.hpp"
#include "transport/entry_context.hpp"

#include <cstdint>
#include <unordered_map>

namespace auburnweir::transport
{

/// Polls the engines of this instance in turn for load, leaving state and cache events.
///
/// Responses to requests also carry load reports; polling covers engines that get little traffic.
/// Runs on worker 0.
class engine_poller
{
public:
    explicit engine_poller(entry_context& context);

    /// Reads the status of the next engine. Call it periodically.
    void poll();

private:
    net::awaitable<void> read_status(state::backend_id id, state::endpoint address);
    void apply_cache_events(
        state::backend_id const& id, std::vector<protocol::cache_event> const& events);

    entry_context& context_;
    worker& worker_;
    std::size_t next_engine_ = 0;
    std::unordered_map<state::backend_id, std::uint64_t> last_event_numbers_;
};

} // namespace auburnweir::transport

#endif
