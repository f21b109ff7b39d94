#ifndef AUBURNWEIR_PROTOCOL_OPTION_TABLE_HPP
#define AUBURNWEIR_PROTOCOL_OPTION_TABLE_HPP

#include "protocol/ini_document.hpp"
#include "state/configuration.hpp"

#include <algorithm>
#include <charconv>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburnweir::protocol
{

/// Reason why a value is rejected; null when it is accepted.
using value_error = std::optional<std::string>;

/// One key of a section, with its description, default and range.
template <class Target>
struct option
{
    std::string key;
    std::string description;
    std::string default_value; ///< empty: no default
    std::string range_text;    ///< shown in the reference; `assign` checks the value
    bool required = false;
    std::function<value_error(Target&, std::string const&)> assign;
};

template <class Target>
using option_table = std::vector<option<Target>>;

/// Splits at commas; blanks around items are removed and empty items are skipped.
std::vector<std::string> split_list(std::string_view text);

/// Parses `host:port`, where the host is an IP address.
std::optional<state::endpoint> parse_endpoint(std::string_view text);

/// True for an identifier of letters, digits, `-`, `_` and `.`, of 1 to 64 bytes.
bool is_identifier(std::string_view text);

/// Parses a number in [low, high].
/// @return null when the text is not a number or out of range
template <class Number>
std::optional<Number> parse_number(std::string_view text, Number low, Number high)
{
    Number value{};
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    if (!(value >= low && value <= high))
        return std::nullopt;
    return value;
}

/// Option that holds an integer or a decimal number; `store` writes it to the target.
template <class Number, class Target, class Store>
option<Target> number_option(
    std::string key, std::string description, std::string default_value, Number low, Number high,
    Store store)
{
    auto text_of = [](Number n)
    {
        auto text = std::to_string(n);
        if (text.find('.') == std::string::npos)
            return text;
        text.erase(text.find_last_not_of('0') + 1);
        if (text.back() == '.')
            text.pop_back();
        return text;
    };
    auto const range = text_of(low) + " to " + text_of(high);
    auto assign = [low, high, range, store](Target& target, std::string const& text) -> value_error
    {
        auto const value = parse_number<Number>(text, low, high);
        if (!value)
            return "'" + text + "' is not a number from " + range;
        store(target, *value);
        return std::nullopt;
    };
    return {std::move(key), std::move(description), std::move(default_value), range, false, assign};
}

/// Option that holds text; `store` returns an error to reject it.
template <class Target, class Store>
option<Target> text_option(
    std::string key, std::string description, std::string default_value, std::string range,
    bool required, Store store)
{
    return {std::move(key),
            std::move(description),
            std::move(default_value),
            std::move(range),
            required,
            store};
}

/// Applies the defaults and a section's entries to `target`. Unknown, duplicate and missing keys
/// and values out of range are findings.
template <class Target>
void apply_section(
    ini_section const& section, option_table<Target> const& table, std::string const& file,
    Target& target, state::findings& out)
{
    std::set<std::string> seen;
    for (auto const& o : table)
        if (!o.default_value.empty())
            (void)o.assign(target, o.default_value);
    for (auto const& entry : section.entries)
    {
        auto const full_key = section.title() + "." + entry.key;
        auto const it = std::find_if(
            table.begin(), table.end(), [&](auto const& o) { return o.key == entry.key; });
        if (it == table.end())
        {
            out.push_back({file, entry.line, full_key, "unknown key"});
            continue;
        }
        if (!seen.insert(entry.key).second)
        {
            out.push_back({file, entry.line, full_key, "duplicate key"});
            continue;
        }
        if (auto const error = it->assign(target, entry.value))
            out.push_back({file, entry.line, full_key, *error});
    }
    for (auto const& o : table)
        if (o.required && !seen.contains(o.key))
            out.push_back({file, section.line, section.title() + "." + o.key, "key is missing"});
}

} // namespace auburnweir::protocol

#endif
