#ifndef AUBURNWEIR_PROTOCOL_QUARANTINE_RECORD_CODEC_HPP
#define AUBURNWEIR_PROTOCOL_QUARANTINE_RECORD_CODEC_HPP

#include "state/quarantine_record.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace auburnweir::protocol
{

std::string encode_quarantine_record(state::quarantine_record const& record);

/// Null when the text can't be decoded.
std::optional<state::quarantine_record> decode_quarantine_record(std::string_view text);

} // namespace auburnweir::protocol

#endif
