#include "protocol/status_line.hpp"

#include <algorithm>

namespace auburnweir::protocol
{

namespace
{

constexpr std::string_view version_start = "HTTP/1.";

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

/// Whether `text` begins with the rest of a status line: minor version, space, status, end or
/// space.
bool is_rest_of_status_line(std::string_view text)
{
    constexpr std::size_t status_at = 2;
    constexpr std::size_t status_digits = 3;
    constexpr std::size_t size = status_at + status_digits;
    if (text.size() < size || !is_digit(text[0]) || text[1] != ' ')
        return false;
    auto const status = text.substr(status_at, status_digits);
    return std::ranges::all_of(status, is_digit) && (text.size() == size || text[size] == ' ');
}

} // namespace

bool contains_status_line(std::string_view header_text)
{
    for (auto at = header_text.find(version_start); at != std::string_view::npos;
         at = header_text.find(version_start, at + 1))
        if (is_rest_of_status_line(header_text.substr(at + version_start.size())))
            return true;
    return false;
}

bool is_valid_status(int status)
{
    constexpr int first_status = 100;
    constexpr int last_status = 599;
    return status >= first_status && status <= last_status;
}

} // namespace auburnweir::protocol
