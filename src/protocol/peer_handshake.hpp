#ifndef AUBURNWEIR_PROTOCOL_PEER_HANDSHAKE_HPP
#define AUBURNWEIR_PROTOCOL_PEER_HANDSHAKE_HPP

#include "state/ids.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace auburnweir::protocol
{

/// Send this frame and go on waiting.
struct handshake_send
{
    std::string frame;
};

/// The peer is proved. `frame`, if any, is to be sent first.
struct handshake_done
{
    state::instance_id peer;
    std::optional<std::string> frame;
};

/// The peer did not prove the key: close the link.
struct handshake_refused
{
    std::string reason;
};

using handshake_step = std::variant<handshake_send, handshake_done, handshake_refused>;

/// Mutual proof of the shared peer key on a new link, by HMAC over both sides' nonces.
///
/// hello (connecting side) -> challenge with proof -> proof. No other message counts before it.
class peer_handshake
{
public:
    enum class role
    {
        connecting,
        accepting
    };

    peer_handshake(role side, state::instance_id self, std::string key, std::string nonce);

    /// The first frame of the connecting side.
    std::string hello() const;

    /// Takes the peer's next frame.
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
