#include "support/settings_template.hpp"

namespace auburnweir::review
{

namespace
{

constexpr std::string_view open = "{{";
constexpr std::string_view close = "}}";

/// Removes a line end that directly follows a section's mark.
std::size_t after_line_end(std::string const& text, std::size_t at)
{
    return at < text.size() && text[at] == '\n' ? at + 1 : at;
}

} // namespace

std::string fill_in(std::string text, std::map<std::string, std::string> const& values)
{
    for (auto begin = text.find(open); begin != std::string::npos; begin = text.find(open))
    {
        auto const end = text.find(close, begin);
        if (end == std::string::npos)
            break;
        auto name = text.substr(begin + open.size(), end - begin - open.size());
        auto const after = end + close.size();
        bool const is_section = name.starts_with('#') || name.starts_with('^');
        if (!is_section)
        {
            auto const value = values.find(name);
            text.replace(
                begin, after - begin, value == values.end() ? std::string{} : value->second);
            continue;
        }
        bool const wants_value = name.front() == '#';
        name.erase(0, 1);
        auto const last = "{{/" + name + "}}";
        auto const last_begin = text.find(last, after);
        if (last_begin == std::string::npos)
            break;
        auto const content_begin = after_line_end(text, after);
        auto content = text.substr(content_begin, last_begin - content_begin);
        if (values.contains(name) != wants_value)
            content.clear();
        auto const section_end = after_line_end(text, last_begin + last.size());
        text.replace(begin, section_end - begin, content);
    }
    return text;
}

} // namespace auburnweir::review
