#include "protocol/ini_document.hpp"

#include <algorithm>
#include <ini.h>

namespace auburnweir::protocol
{

namespace
{

/// State of one run of inih's stream parser.
struct parser_state
{
    std::string_view rest;
    std::string const& file;
    state::findings& out;
    int line = 0;
    ini_document sections;
};

std::string_view trimmed(std::string_view s)
{
    auto const first = s.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos)
        return {};
    return s.substr(first, s.find_last_not_of(" \t\r\n") - first + 1);
}

/// Reader callback of inih: returns the next line and counts it. It also records section headers,
/// because inih reports only sections that have keys.
char* next_line(char* buffer, int size, void* stream)
{
    auto& r = *static_cast<parser_state*>(stream);
    if (r.rest.empty())
        return nullptr;
    ++r.line;
    auto const end = r.rest.find('\n');
    auto line = r.rest.substr(0, end);
    r.rest = end == std::string_view::npos ? std::string_view{} : r.rest.substr(end + 1);
    if (line.find('\0') != std::string_view::npos)
    {
        r.out.push_back({r.file, r.line, "", "line contains a null byte"});
        line = {};
    }
    auto const limit = std::min(max_ini_line_bytes, static_cast<std::size_t>(size) - 2);
    if (line.size() > limit)
    {
        r.out.push_back(
            {r.file, r.line, "", "line is longer than " + std::to_string(limit) + " bytes"});
        line = {};
    }
    auto const text = trimmed(line);
    if (text.size() > 2 && text.front() == '[' && text.find(']') != std::string_view::npos)
    {
        auto const title = trimmed(text.substr(1, text.find(']') - 1));
        auto const space = title.find_first_of(" \t");
        auto const kind = title.substr(0, space);
        auto const name =
            space == std::string_view::npos ? std::string_view{} : trimmed(title.substr(space));
        r.sections.push_back({std::string{kind}, std::string{name}, r.line, {}});
    }
    std::copy(line.begin(), line.end(), buffer);
    buffer[line.size()] = '\n';
    buffer[line.size() + 1] = '\0';
    return buffer;
}

/// Entry callback of inih; a result of 0 would mark the line as malformed.
int on_entry(void* user, char const*, char const* key, char const* value)
{
    auto& r = *static_cast<parser_state*>(user);
    if (r.sections.empty())
    {
        r.out.push_back({r.file, r.line, key, "key is outside of any section"});
        return 1;
    }
    r.sections.back().entries.push_back({key, value ? value : "", r.line});
    return 1;
}

/// Adds a finding for each malformed line. inih skips these lines and reports only the first one.
void find_malformed_lines(std::string_view text, std::string const& file, state::findings& out)
{
    int number = 0;
    while (!text.empty())
    {
        ++number;
        auto const end = text.find('\n');
        auto const line = trimmed(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        if (line.empty() || line.front() == ';' || line.front() == '#')
            continue;
        bool const section = line.front() == '[';
        if (section && line.find(']') == std::string_view::npos)
            out.push_back({file, number, std::string{line}, "section header has no closing ]"});
        if (!section && line.find_first_of("=:") == std::string_view::npos)
            out.push_back({file, number, std::string{line}, "line has no ="});
    }
}

} // namespace

std::string ini_section::title() const
{
    return name.empty() ? kind : kind + " " + name;
}

ini_document parse_ini(std::string_view text, std::string const& file, state::findings& out)
{
    constexpr std::string_view byte_order_mark = "\xef\xbb\xbf";
    if (text.starts_with(byte_order_mark))
        text.remove_prefix(byte_order_mark.size());
    parser_state r{text, file, out, 0, {}};
    ini_parse_stream(next_line, &r, on_entry, &r);
    find_malformed_lines(text, file, out);
    return std::move(r.sections);
}

} // namespace auburnweir::protocol
