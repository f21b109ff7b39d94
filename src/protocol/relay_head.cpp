#include "protocol/relay_head.hpp"

#include "protocol/digest.hpp"
#include "protocol/option_table.hpp"

#include <array>

namespace auburnweir::protocol
{

namespace
{

constexpr std::string_view once = "once";
constexpr std::string_view repeatable = "repeatable";

/// The fields that the proof covers, in the order of the header.
std::string encode_fields(relay_head const& head)
{
    std::string text = head.from.str();
    text += ',' + head.server.str() + ',';
    text += head.at_most_once ? once : repeatable;
    text += ',' + std::to_string(head.fingerprint.count());
    return text;
}

std::string proof_of(std::string_view fields, relayed_message const& message, std::string_view key)
{
    std::string data{"relay"};
    for (auto const& part :
         {std::string{fields}, message.to.str(), std::to_string(message.to_incarnation.count()),
          std::string{message.method}, std::string{message.target}, std::string{message.request_id},
          sha256(message.body).str()})
        data += '\n' + part;
    return hmac_sha256(key, data);
}

} // namespace

std::string encode_relay_head(
    relay_head const& head, relayed_message const& message, std::string_view key)
{
    auto const fields = encode_fields(head);
    return fields + ',' + proof_of(fields, message, key);
}

std::optional<relay_head> decode_relay_head(
    std::string_view text, relayed_message const& message, std::string_view key)
{
    constexpr std::size_t fields = 5;
    auto const items = split_list(text);
    if (items.size() != fields)
        return std::nullopt;
    auto const fingerprint = parse_number<std::uint64_t>(items[3], 0, UINT64_MAX);
    bool const has_rule = items[2] == once || items[2] == repeatable;
    if (!fingerprint || !has_rule)
        return std::nullopt;
    relay_head head;
    head.from = state::instance_id{items[0]};
    head.server = state::backend_id{items[1]};
    head.at_most_once = items[2] == once;
    head.fingerprint = state::segment_hash{*fingerprint};
    if (!equal_in_constant_time(items[4], proof_of(encode_fields(head), message, key)))
        return std::nullopt;
    return head;
}

} // namespace auburnweir::protocol
