#ifndef AUBURNWEIR_TRANSPORT_RELAY_USE_HPP
#define AUBURNWEIR_TRANSPORT_RELAY_USE_HPP

#include "coordination/relay_table.hpp"

#include <utility>

namespace auburnweir::transport
{

/// Counts an attempt for the peer that relays it, until it is destroyed.
class relay_use
{
public:
    relay_use(coordination::relay_table& relays, state::relay_peer peer)
        : relays_(&relays)
        , peer_(std::move(peer))
    {
    }

    relay_use(relay_use const&) = delete;
    relay_use& operator=(relay_use const&) = delete;

    ~relay_use() { relays_->record_end(peer_.id); }

    state::relay_peer const& peer() const { return peer_; }

    /// Records that the peer did not take the attempt.
    void record_refusal(state::time_point now) { relays_->record_refusal(peer_.id, now); }

private:
    coordination::relay_table* relays_;
    state::relay_peer peer_;
};

} // namespace auburnweir::transport

#endif
