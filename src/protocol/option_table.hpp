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

/// Why a value is not taken; null when it is.
using value_fault = std::optional<std::string>;

/// One key of a section: what it means, what it is without being set, what it may be.
template <class Target>
struct option
{
    std::string key;
    std::string description;
    std::string default_value; ///< empty: no default
    std::string range;
    bool required = false;
    std::function<value_fault(Target&, std::string const&)> assign;
};

template <class Target>
using option_table = std::vector<option<Target>>;

/// Splits at commas; blanks around items are dropped.
std::vector<std::string> split_list(std::string_view text);

/// Parses `host:port` with a host by IP number.
std::optional<state::endpoint> parse_endpoint(std::string_view text);

/// True for an identifier of letters, digits, `-`, `_` and `.`, of 1 to 64 bytes.
bool is_identifier(std::string_view text);

/// Parses a number that must lie in [low, high].
template <class Number>
std::optional<Number> parse_number(std::string_view text, Number low, Number high)
{
    Number value{};
    auto const [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (fault != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    if (!(value >= low && value <= high))
        return std::nullopt;
    return value;
}

/// Option that holds a whole or decimal number; `store` puts it into the target.
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
    auto assign = [low, high, range, store](Target& target, std::string const& text) -> value_fault
    {
        auto const value = parse_number<Number>(text, low, high);
        if (!value)
            return "'" + text + "' is not a number from " + range;
        store(target, *value);
        return std::nullopt;
    };
    return {std::move(key), std::move(description), std::move(default_value), range, false, assign};
}

/// Option that holds text; `store` returns a fault to refuse it.
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

/// Applies a section's entries to `target`. Unknown, repeated, missing and out-of-range keys are
/// findings.
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
        auto const place = section.title() + "." + entry.key;
        auto const known = std::find_if(
            table.begin(), table.end(), [&](auto const& o) { return o.key == entry.key; });
        if (known == table.end())
        {
            out.push_back({file, entry.line, place, "unknown key"});
            continue;
        }
        if (!seen.insert(entry.key).second)
        {
            out.push_back({file, entry.line, place, "key stands twice"});
            continue;
        }
        if (auto const fault = known->assign(target, entry.value))
            out.push_back({file, entry.line, place, *fault});
    }
    for (auto const& o : table)
        if (o.required && !seen.contains(o.key))
            out.push_back({file, section.line, section.title() + "." + o.key, "key is missing"});
}

} // namespace auburnweir::protocol

#endif
