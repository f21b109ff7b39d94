#include "protocol/platform_codec.hpp"

#include "protocol/json.hpp"

#include <algorithm>
#include <charconv>

namespace auburnweir::protocol
{

namespace
{

using nlohmann::json;

decoded<json> parse_object(std::string_view body)
{
    auto parsed = parse_json(body);
    if (!parsed || !parsed->is_object())
        return decode_error{"platform body is not a JSON object"};
    return std::move(*parsed);
}

std::uint64_t count_at(json const& object, char const* key)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, integer_at(object, key)));
}

bool is_unreserved(unsigned char c)
{
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~' || c == '/';
}

} // namespace

std::string encode_transaction(std::vector<state::table_write> const& writes)
{
    auto list = json::array();
    for (auto const& w : writes)
        list.push_back(
            {{"key", w.key.str()},
             {"expect", w.expect.count()},
             {"value", w.value},
             {"erase", w.erase}});
    return dump({{"writes", std::move(list)}});
}

decoded<std::vector<state::table_write>> decode_transaction(std::string_view body)
{
    auto const object = parse_object(body);
    if (!object)
        return object.error();
    std::vector<state::table_write> writes;
    for (auto const& w : array_at(object.value(), "writes"))
        writes.push_back(
            {state::row_key{text_at(w, "key")}, state::row_version{count_at(w, "expect")},
             text_at(w, "value"), flag_at(w, "erase")});
    return writes;
}

std::string encode_versions(std::vector<state::row_version> const& versions)
{
    auto list = json::array();
    for (auto const& v : versions)
        list.push_back(v.count());
    return dump({{"versions", std::move(list)}});
}

decoded<std::vector<state::row_version>> decode_versions(std::string_view body)
{
    auto const object = parse_object(body);
    if (!object)
        return object.error();
    std::vector<state::row_version> versions;
    for (auto const& v : array_at(object.value(), "versions"))
    {
        if (!v.is_number_unsigned())
            return decode_error{"row version is not a number"};
        versions.emplace_back(v.get<std::uint64_t>());
    }
    return versions;
}

std::string encode_rows(std::vector<state::table_row> const& rows)
{
    auto list = json::array();
    for (auto const& r : rows)
        list.push_back({{"key", r.key.str()}, {"version", r.version.count()}, {"value", r.value}});
    return dump({{"rows", std::move(list)}});
}

decoded<std::vector<state::table_row>> decode_rows(std::string_view body)
{
    auto const object = parse_object(body);
    if (!object)
        return object.error();
    std::vector<state::table_row> rows;
    for (auto const& r : array_at(object.value(), "rows"))
        rows.push_back(
            {state::row_key{text_at(r, "key")}, state::row_version{count_at(r, "version")},
             text_at(r, "value")});
    return rows;
}

std::string encode_instances(std::vector<state::instance> const& instances)
{
    auto list = json::array();
    for (auto const& i : instances)
        list.push_back(
            {{"id", i.id.str()},
             {"incarnation", i.incarnation.count()},
             {"failure_domain", i.failure_domain.str()},
             {"region", i.region.str()},
             {"host", i.peer_address.host},
             {"port", i.peer_address.port},
             {"leaving", i.leaving}});
    return dump({{"instances", std::move(list)}});
}

decoded<std::vector<state::instance>> decode_instances(std::string_view body)
{
    auto const object = parse_object(body);
    if (!object)
        return object.error();
    std::vector<state::instance> instances;
    for (auto const& i : array_at(object.value(), "instances"))
    {
        state::instance instance;
        instance.id = state::instance_id{text_at(i, "id")};
        instance.incarnation = state::incarnation_number{count_at(i, "incarnation")};
        instance.failure_domain = state::failure_domain_id{text_at(i, "failure_domain")};
        instance.region = state::region_id{text_at(i, "region")};
        instance.peer_address = {
            text_at(i, "host"), static_cast<std::uint16_t>(integer_at(i, "port"))};
        instance.leaving = flag_at(i, "leaving");
        if (instance.id.empty())
            return decode_error{"instance without id"};
        instances.push_back(std::move(instance));
    }
    return instances;
}

std::string encode_notices(std::vector<reclaim_notice> const& notices)
{
    auto list = json::array();
    for (auto const& n : notices)
    {
        auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(n.time_left);
        list.push_back({{"subject", n.subject}, {"time_left_ms", left.count()}});
    }
    return dump({{"notices", std::move(list)}});
}

decoded<std::vector<reclaim_notice>> decode_notices(std::string_view body)
{
    auto const object = parse_object(body);
    if (!object)
        return object.error();
    std::vector<reclaim_notice> notices;
    for (auto const& n : array_at(object.value(), "notices"))
        notices.push_back(
            {text_at(n, "subject"), std::chrono::milliseconds{integer_at(n, "time_left_ms")}});
    return notices;
}

std::string url_encoded(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (unsigned char const c : text)
    {
        if (is_unreserved(c))
        {
            out += static_cast<char>(c);
            continue;
        }
        out += '%';
        out += digits[c >> 4U];
        out += digits[c & 15U];
    }
    return out;
}

std::optional<std::string> url_decoded(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] != '%')
        {
            out += text[i];
            continue;
        }
        if (i + 2 >= text.size())
            return std::nullopt;
        unsigned int value = 0;
        auto const* first = text.data() + i + 1;
        auto const [end, error] = std::from_chars(first, first + 2, value, 16);
        if (error != std::errc{} || end != first + 2)
            return std::nullopt;
        out += static_cast<char>(value);
        i += 2;
    }
    return out;
}

std::string query_value(std::string_view target, std::string_view name)
{
    auto const mark = target.find('?');
    if (mark == std::string_view::npos)
        return {};
    auto query = target.substr(mark + 1);
    while (!query.empty())
    {
        auto const end = query.find('&');
        auto const pair = query.substr(0, end);
        query = end == std::string_view::npos ? std::string_view{} : query.substr(end + 1);
        auto const equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return url_decoded(pair.substr(equals + 1)).value_or("");
    }
    return {};
}

} // namespace auburnweir::protocol
