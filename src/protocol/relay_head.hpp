#ifndef AUBURNWEIR_PROTOCOL_RELAY_HEAD_HPP
#define AUBURNWEIR_PROTOCOL_RELAY_HEAD_HPP

#include "state/configuration.hpp"
#include "state/ids.hpp"
#include "state/segment_evidence.hpp"

#include <optional>
#include <string>
#include <string_view>

/// How an instance asks another to relay one request to a backend server.
namespace auburnweir::protocol
{

/// Header of a request to be relayed, which names the server.
inline constexpr std::string_view relay_header = "Relay-Attempt";

/// Header of a response that came from the server. A response without it says that the request was
/// not sent to the server.
inline constexpr std::string_view relayed_header = "Relayed-From";

/// What an instance asks for beside the request itself.
struct relay_head
{
    state::instance_id from;
    state::backend_id server;
    bool at_most_once = false;
    /// Of the request as its caller sent it, for evidence on requests that crash servers.
    state::segment_hash fingerprint{0};
};

/// The request that a relay head belongs to, and who is asked.
struct relayed_message
{
    std::string_view method;
    std::string_view target;
    std::string_view request_id;
    std::string_view body;
    state::instance_id to;
    state::incarnation_number to_incarnation;
};

/// Encodes the value of `relay_header`, with a proof of the peer key that holds for this request
/// at this life of the asked instance alone.
std::string encode_relay_head(
    relay_head const& head, relayed_message const& message, std::string_view key);

/// @return null when the value is malformed or its proof is wrong
std::optional<relay_head> decode_relay_head(
    std::string_view text, relayed_message const& message, std::string_view key);

} // namespace auburnweir::protocol

#endif
