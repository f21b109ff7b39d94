#ifndef AUBURNWEIR_PROTOCOL_DIGEST_HPP
#define AUBURNWEIR_PROTOCOL_DIGEST_HPP

#include "state/ids.hpp"

#include <string>
#include <string_view>

namespace auburnweir::protocol
{

/// SHA-256 in lower-case hexadecimal.
state::sha256_digest sha256(std::string_view data);

/// HMAC-SHA-256 in lower-case hexadecimal.
std::string hmac_sha256(std::string_view key, std::string_view data);

/// Compares two texts; the run time does not depend on where they differ.
bool equal_in_constant_time(std::string_view a, std::string_view b);

/// `bytes` random bytes of OpenSSL's generator in hexadecimal, for tokens and nonces.
/// @throws std::runtime_error when the generator fails
std::string random_hex(std::size_t bytes);

} // namespace auburnweir::protocol

#endif
