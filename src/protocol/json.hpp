#ifndef AUBURNWEIR_PROTOCOL_JSON_HPP
#define AUBURNWEIR_PROTOCOL_JSON_HPP

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

/// Reads of JSON values that give null or a default in place of an exception.
namespace auburnweir::protocol
{

/// @return null when `text` is not JSON or is nested too deeply
std::optional<nlohmann::json> parse_json(std::string_view text);

/// Text of a value; bytes that are not UTF-8 are replaced.
std::string dump(nlohmann::json const& value);

/// A member of an object as text, or `fallback` when it is absent or of another type.
std::string text_at(nlohmann::json const& object, char const* key, std::string fallback = {});

std::int64_t integer_at(nlohmann::json const& object, char const* key, std::int64_t fallback = 0);

double number_at(nlohmann::json const& object, char const* key, double fallback = 0);

bool flag_at(nlohmann::json const& object, char const* key, bool fallback = false);

/// A member that is an array, else an empty one.
nlohmann::json const& array_at(nlohmann::json const& object, char const* key);

} // namespace auburnweir::protocol

#endif
