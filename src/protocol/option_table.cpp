#include "protocol/option_table.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>

namespace auburnweir::protocol
{

std::vector<std::string> split_list(std::string_view text)
{
    std::vector<std::string> items;
    while (!text.empty())
    {
        auto const comma = text.find(',');
        auto item = text.substr(0, comma);
        text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
        auto const first = item.find_first_not_of(" \t");
        if (first == std::string_view::npos)
            continue;
        item = item.substr(first, item.find_last_not_of(" \t") - first + 1);
        items.emplace_back(item);
    }
    return items;
}

std::optional<state::endpoint> parse_endpoint(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto host = std::string{text.substr(0, colon)};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    boost::asio::ip::make_address(host, error);
    auto const port = parse_number<std::uint16_t>(text.substr(colon + 1), 0, 65535);
    if (error || !port)
        return std::nullopt;
    return state::endpoint{std::move(host), *port};
}

bool is_identifier(std::string_view text)
{
    constexpr std::size_t max_bytes = 64;
    auto const allowed = [](unsigned char c)
    { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; };
    return !text.empty() && text.size() <= max_bytes &&
           std::all_of(text.begin(), text.end(), allowed);
}

} // namespace auburnweir::protocol
