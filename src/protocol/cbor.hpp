#ifndef AUBURNWEIR_PROTOCOL_CBOR_HPP
#define AUBURNWEIR_PROTOCOL_CBOR_HPP

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>

namespace auburnweir::protocol
{

/// Decodes one CBOR value. Never throws, whatever the bytes.
/// @return null when the bytes are not one CBOR value, are nested too deeply, or announce an array
///         or map that they are too short for
std::optional<nlohmann::json> parse_cbor(std::string_view bytes);

} // namespace auburnweir::protocol

#endif
