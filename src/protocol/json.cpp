#include "protocol/json.hpp"

namespace auburnweir::protocol
{

namespace
{

constexpr int max_nesting_depth = 64;

nlohmann::json const* member(nlohmann::json const& object, char const* key)
{
    if (!object.is_object())
        return nullptr;
    auto const it = object.find(key);
    return it == object.end() ? nullptr : &*it;
}

bool exceeds_nesting_depth(std::string_view text)
{
    int depth = 0;
    bool quoted = false;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        auto const c = text[i];
        if (quoted && c == '\\')
            ++i;
        else if (c == '"')
            quoted = !quoted;
        else if (!quoted && (c == '{' || c == '['))
            ++depth;
        else if (!quoted && (c == '}' || c == ']'))
            --depth;
        if (depth > max_nesting_depth)
            return true;
    }
    return false;
}

} // namespace

std::optional<nlohmann::json> parse_json(std::string_view text)
{
    if (exceeds_nesting_depth(text))
        return std::nullopt;
    auto parsed = nlohmann::json::parse(text, nullptr, false);
    if (parsed.is_discarded())
        return std::nullopt;
    return parsed;
}

std::string dump(nlohmann::json const& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string hexadecimal(std::uint64_t value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (auto digit = text.rbegin(); value != 0; ++digit, value >>= 4U)
        *digit = digits[value & 0xFU];
    return text;
}

std::string text_at(nlohmann::json const& object, char const* key, std::string fallback)
{
    auto const* m = member(object, key);
    return m && m->is_string() ? m->get<std::string>() : std::move(fallback);
}

std::int64_t integer_at(nlohmann::json const& object, char const* key, std::int64_t fallback)
{
    auto const* m = member(object, key);
    return m && m->is_number_integer() ? m->get<std::int64_t>() : fallback;
}

double number_at(nlohmann::json const& object, char const* key, double fallback)
{
    auto const* m = member(object, key);
    return m && m->is_number() ? m->get<double>() : fallback;
}

bool flag_at(nlohmann::json const& object, char const* key, bool fallback)
{
    auto const* m = member(object, key);
    return m && m->is_boolean() ? m->get<bool>() : fallback;
}

nlohmann::json const& array_at(nlohmann::json const& object, char const* key)
{
    static nlohmann::json const empty = nlohmann::json::array();
    auto const* m = member(object, key);
    return m && m->is_array() ? *m : empty;
}

} // namespace auburnweir::protocol
