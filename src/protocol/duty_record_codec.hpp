#ifndef AUBURNWEIR_PROTOCOL_DUTY_RECORD_CODEC_HPP
#define AUBURNWEIR_PROTOCOL_DUTY_RECORD_CODEC_HPP

#include "coordination/duty_lease.hpp"

#include <optional>
#include <string>

namespace auburnweir::protocol
{

/// The row of the lease on the duties, in CBOR.
std::string encode_duty_record(coordination::duty_record const& record);

/// @return null when the row can't be read
std::optional<coordination::duty_record> decode_duty_record(std::string_view text);

/// The row by which an instance makes itself known to the others.
std::string encode_instance_address(state::endpoint const& address);
std::optional<state::endpoint> decode_instance_address(std::string_view text);

} // namespace auburnweir::protocol

#endif
