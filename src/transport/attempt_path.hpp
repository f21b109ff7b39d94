#ifndef AUBURNWEIR_TRANSPORT_ATTEMPT_PATH_HPP
#define AUBURNWEIR_TRANSPORT_ATTEMPT_PATH_HPP

#include "transport/gateway_context.hpp"

#include <optional>

namespace auburnweir::transport
{

/// How the attempts of one request reach their servers: directly, or through a peer while this
/// instance does not reach the service. Counts the attempt for the peer.
class attempt_path
{
public:
    attempt_path(gateway_context& context, worker& assigned_worker)
        : context_(context)
        , worker_(assigned_worker)
    {
    }

    attempt_path(attempt_path const&) = delete;
    attempt_path& operator=(attempt_path const&) = delete;

    ~attempt_path() { leave(); }

    /// Chooses the path of the next attempt.
    /// @return false when the server is not reached and no peer is left
    bool choose(state::server_view const& server);

    bool is_relayed() const { return peer_.has_value(); }

    /// The peer that relays the attempt; empty when it is sent directly.
    state::instance_id relay() const { return peer_ ? peer_->id : state::instance_id{}; }

    /// Where the attempt is sent to. For a peer, adds what it has to know to the call.
    state::endpoint address(
        http_request& call, state::listed_server const& server,
        state::forwarded_request const& request, bool at_most_once) const;

    /// Whether a response shows that the attempt was sent to the server. A peer's own does not.
    bool was_sent(http_stream const& response) const;

    /// Records that the peer has not sent the attempt to the server.
    void record_refusal();

private:
    void leave();

    gateway_context& context_;
    worker& worker_;
    std::optional<state::relay_peer> peer_; ///< null: the attempt is sent directly
};

} // namespace auburnweir::transport

#endif
