#ifndef AUBURNWEIR_PROTOCOL_JSON_HPP
#define AUBURNWEIR_PROTOCOL_JSON_HPP

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

/// Accessors of JSON values that return null or a default instead of throwing.
namespace auburnweir::protocol
{

/// @return null when `text` is not JSON or is nested too deeply
std::optional<nlohmann::json> parse_json(std::string_view text);

/// Serializes a value; invalid UTF-8 is replaced.
std::string dump(nlohmann::json const& value);

/// The value as 16 lower-case hexadecimal digits.
std::string hexadecimal(std::uint64_t value);

/// A member of an object as text, or `fallback` when it is absent or of another type.
std::string text_at(nlohmann::json const& object, char const* key, std::string fallback = {});

std::int64_t integer_at(nlohmann::json const& object, char const* key, std::int64_t fallback = 0);

double number_at(nlohmann::json const& object, char const* key, double fallback = 0);

bool flag_at(nlohmann::json const& object, char const* key, bool fallback = false);

/// A member that is an array, or an empty array when it is absent or of another type.
nlohmann::json const& array_at(nlohmann::json const& object, char const* key);

} // namespace auburnweir::protocol

#endif
