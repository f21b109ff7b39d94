#include "protocol/whole_document.hpp"

#include "protocol/json.hpp"

#include <algorithm>
#include <cctype>

namespace auburnweir::protocol
{

namespace
{

bool equals_ignoring_case(std::string_view a, std::string_view b)
{
    return std::ranges::equal(
        a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

} // namespace

bool proves_itself_whole(std::string_view content_type, std::string_view body)
{
    constexpr std::string_view json_type = "application/json";
    auto type = content_type.substr(0, content_type.find(';'));
    while (!type.empty() && (type.back() == ' ' || type.back() == '\t'))
        type.remove_suffix(1);
    if (!equals_ignoring_case(type, json_type))
        return false;
    auto const document = parse_json(body);
    return document && document->is_structured();
}

} // namespace auburnweir::protocol
