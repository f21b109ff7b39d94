#ifndef AUBURNWEIR_PROTOCOL_DUTY_RECORD_CODEC_HPP
#define AUBURNWEIR_PROTOCOL_DUTY_RECORD_CODEC_HPP

#include "coordination/duty_lease.hpp"

#include <optional>
#include <string>

namespace auburnweir::protocol
{

/// Row of the duty lease in the store, as CBOR.
std::string encode_duty_record(coordination::duty_record const& record);

/// @return null when the row can't be decoded
std::optional<coordination::duty_record> decode_duty_record(std::string_view text);

/// Row in which an instance publishes its peer address, as `host:port`.
std::string encode_instance_address(state::endpoint const& address);
std::optional<state::endpoint> decode_instance_address(std::string_view text);

} // namespace auburnweir::protocol

#endif
