#ifndef AUBURNWEIR_PROTOCOL_PEER_HANDSHAKE_HPP
#define AUBURNWEIR_PROTOCOL_PEER_HANDSHAKE_HPP

#include "state/ids.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace auburnweir::protocol
{

/// `frame` is to be sent; the handshake then waits for the peer's next frame.
struct handshake_send
{
    std::string frame;
};

/// The peer is authenticated. `frame`, if any, must be sent before other messages.
struct handshake_done
{
    state::instance_id peer;
    std::optional<std::string> frame;
};

/// The peer failed the handshake; the link must be closed.
struct handshake_refused
{
    std::string reason;
};

using handshake_step = std::variant<handshake_send, handshake_done, handshake_refused>;

/// Mutual authentication on a new link: each side proves the shared peer key by an HMAC over both
/// sides' nonces.
///
/// hello (connecting side) -> challenge with proof -> proof. Any other frame before the end of the
/// handshake refuses the link.
class peer_handshake
{
public:
    enum class role
    {
        connecting,
        accepting
    };

    peer_handshake(role side, state::instance_id self, std::string key, std::string nonce);

    /// First frame, which the connecting side sends.
    std::string hello() const;

    /// Processes the peer's next frame.
    handshake_step receive(std::string_view frame);

private:
    std::string proof(
        std::string_view side, std::string_view connecting_nonce, std::string_view accepting_nonce,
        state::instance_id const& connecting, state::instance_id const& accepting) const;
    handshake_step on_hello(std::string_view frame);
    handshake_step on_challenge(std::string_view frame);
    handshake_step on_proof(std::string_view frame) const;

    role side_;
    state::instance_id self_;
    std::string key_;
    std::string nonce_;
    state::instance_id peer_;
    std::string expected_proof_;
};

} // namespace auburnweir::protocol

#endif
