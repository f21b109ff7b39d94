#ifndef AUBURNWEIR_PROTOCOL_OPTION_KINDS_HPP
#define AUBURNWEIR_PROTOCOL_OPTION_KINDS_HPP

#include "protocol/option_table.hpp"
#include "state/time.hpp"

namespace auburnweir::protocol
{

/// Option that holds a duration in milliseconds.
template <class Settings>
option<Settings> milliseconds_option(
    std::string key, std::string description, std::string default_value, std::int64_t low,
    std::int64_t high, state::duration Settings::*member)
{
    return number_option<std::int64_t, Settings>(
        std::move(key), std::move(description), std::move(default_value), low, high,
        [member](Settings& s, std::int64_t v) { s.*member = std::chrono::milliseconds{v}; });
}

/// Option that holds a duration in seconds, as a decimal number.
template <class Settings>
option<Settings> seconds_option(
    std::string key, std::string description, std::string default_value, double low, double high,
    state::duration Settings::*member)
{
    return number_option<double, Settings>(
        std::move(key), std::move(description), std::move(default_value), low, high,
        [member](Settings& s, double v) {
            s.*member =
                std::chrono::duration_cast<state::duration>(std::chrono::duration<double>(v));
        });
}

/// Option that holds an integer.
template <class Settings>
option<Settings> count_option(
    std::string key, std::string description, std::string default_value, std::int64_t low,
    std::int64_t high, std::int64_t Settings::*member)
{
    return number_option<std::int64_t, Settings>(
        std::move(key), std::move(description), std::move(default_value), low, high,
        [member](Settings& s, std::int64_t v) { s.*member = v; });
}

/// Required option that holds an identifier.
template <class Settings, class Id>
option<Settings> id_option(std::string key, std::string description, Id Settings::*member)
{
    return text_option<Settings>(
        std::move(key), std::move(description), "", "identifier", true,
        [member](Settings& s, std::string const& v) -> value_error
        {
            if (!is_identifier(v))
                return "'" + v + "' is not an identifier";
            s.*member = Id{v};
            return std::nullopt;
        });
}

/// Option that holds an address; required when it has no default.
template <class Settings>
option<Settings> endpoint_option(
    std::string key, std::string description, std::string default_value,
    state::endpoint Settings::*member)
{
    bool const required = default_value.empty();
    return text_option<Settings>(
        std::move(key), std::move(description), std::move(default_value), "host:port", required,
        [member](Settings& s, std::string const& v) -> value_error
        {
            auto const parsed = parse_endpoint(v);
            if (!parsed)
                return "'" + v + "' is not an IP address and port";
            s.*member = *parsed;
            return std::nullopt;
        });
}

/// Option that holds one of a fixed set of values.
template <class Settings>
option<Settings> choice_option(
    std::string key, std::string description, std::string default_value,
    std::vector<std::string> const& choices, std::string Settings::*member)
{
    std::string range;
    for (auto const& c : choices)
        range += (range.empty() ? "" : ", ") + c;
    return text_option<Settings>(
        std::move(key), std::move(description), std::move(default_value), range, false,
        [member, choices, range](Settings& s, std::string const& v) -> value_error
        {
            if (std::find(choices.begin(), choices.end(), v) == choices.end())
                return "'" + v + "' is not one of " + range;
            s.*member = v;
            return std::nullopt;
        });
}

/// Option that holds the peer key, which all instances share.
template <class Settings>
option<Settings> peer_key_option(std::string Settings::*member)
{
    constexpr std::size_t min_characters = 16;
    return text_option<Settings>(
        "peer_key", "key shared by all instances, which authenticates each peer link", "",
        "16 characters or more", true,
        [member](Settings& s, std::string const& v) -> value_error
        {
            if (v.size() < min_characters)
                return "shorter than 16 characters";
            s.*member = v;
            return std::nullopt;
        });
}

/// Parses a text that consists of one section.
/// @return null when there is any finding
template <class Settings>
std::optional<Settings> read_single_section(
    std::string_view text, std::string const& file, std::string const& title,
    option_table<Settings> const& options, state::findings& out)
{
    auto const document = parse_ini(text, file, out);
    Settings result;
    bool found = false;
    for (auto const& section : document)
    {
        if (section.title() != title)
            out.push_back({file, section.line, section.title(), "unknown section"});
        else if (found)
            out.push_back({file, section.line, section.title(), "duplicate section"});
        else
            apply_section(section, options, file, result, out);
        found = found || section.title() == title;
    }
    if (!found)
        out.push_back({file, 0, title, "section is missing"});
    if (!out.empty())
        return std::nullopt;
    return result;
}

} // namespace auburnweir::protocol

#endif
