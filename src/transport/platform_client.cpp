#include "transport/platform_client.hpp"

#include <algorithm>
#include <charconv>

namespace auburnweir::transport
{

namespace
{

constexpr int http_ok = 200;
constexpr int http_created = 201;
constexpr int http_conflict = 409;
constexpr int http_not_found = 404;
constexpr int http_service_unavailable = 503;

using results = std::vector<state::write_result>;

results same_result_for_all(std::size_t count, state::write_result const& value)
{
    return results(count, value);
}

results results_of_commit(std::vector<state::table_write> const& writes, std::string const& body)
{
    auto const versions = protocol::decode_versions(body);
    if (!versions || versions.value().size() != writes.size())
        return same_result_for_all(writes.size(), state::write_response_lost{});
    results out;
    for (auto const v : versions.value())
        out.emplace_back(state::write_done{v});
    return out;
}

results results_of_conflict(std::vector<state::table_write> const& writes, std::string const& body)
{
    auto const rows = protocol::decode_rows(body);
    if (!rows)
        return same_result_for_all(writes.size(), state::write_response_lost{});
    results out;
    for (auto const& w : writes)
    {
        auto const& all = rows.value();
        auto const row = std::find_if(
            all.begin(), all.end(), [&](state::table_row const& r) { return r.key == w.key; });
        if (row == all.end())
            out.emplace_back(state::write_refused{});
        else
            out.emplace_back(state::write_conflict{*row});
    }
    return out;
}

} // namespace

platform_client::platform_client(
    http_client& http, state::endpoint address, state::duration timeout)
    : http_(http)
    , address_(std::move(address))
    , timeout_(timeout)
{
}

net::awaitable<std::vector<state::write_result>> platform_client::transact(
    std::vector<state::table_write> writes)
{
    http_request call;
    call.method = "POST";
    call.target = "/table/transact";
    call.content_type = "application/json";
    call.body = protocol::encode_transaction(writes);
    auto const response = co_await call_alone(std::move(call));
    if (!response && response.error() == http_error::connect_failed)
        co_return same_result_for_all(writes.size(), state::write_refused{});
    if (!response)
        co_return same_result_for_all(writes.size(), state::write_response_lost{});
    switch (response.value().status)
    {
    case http_ok:
        co_return results_of_commit(writes, response.value().body);
    case http_conflict:
        co_return results_of_conflict(writes, response.value().body);
    case http_service_unavailable:
        co_return same_result_for_all(writes.size(), state::write_refused{});
    default:
        co_return same_result_for_all(writes.size(), state::write_response_lost{});
    }
}

net::awaitable<state::read_result> platform_client::read(state::row_key key)
{
    http_request call;
    call.target = "/table/row?key=" + protocol::url_encoded(key.str());
    auto const response = co_await call_alone(std::move(call));
    if (!response)
        co_return state::read_failed{};
    if (response.value().status == http_not_found)
        co_return state::row_absent{};
    if (response.value().status != http_ok)
        co_return state::read_failed{};
    auto rows = protocol::decode_rows(response.value().body);
    if (!rows || rows.value().size() != 1)
        co_return state::read_failed{};
    co_return std::move(rows.value().front());
}

net::awaitable<http_result<http_response>> platform_client::call_alone(http_request request)
{
    co_return co_await http_.call(
        address_, std::move(request), timeout_, connection_use::own_connection);
}

std::optional<std::string> platform_client::body_of(http_result<http_response> response)
{
    if (!response || response.value().status != http_ok)
        return std::nullopt;
    return std::move(response.value().body);
}

net::awaitable<std::optional<std::vector<state::table_row>>> platform_client::scan(
    std::string prefix, std::string after, std::size_t max_rows)
{
    http_request call;
    call.target = "/table/scan?prefix=" + protocol::url_encoded(prefix) +
                  "&after=" + protocol::url_encoded(after) + "&limit=" + std::to_string(max_rows);
    auto const body = body_of(co_await call_alone(std::move(call)));
    if (!body)
        co_return std::nullopt;
    auto rows = protocol::decode_rows(*body);
    if (!rows)
        co_return std::nullopt;
    co_return std::move(rows.value());
}

net::awaitable<bool> platform_client::put_object(std::string name, std::string content)
{
    http_request call;
    call.method = "PUT";
    call.target = "/objects/" + protocol::url_encoded(name);
    call.content_type = "application/octet-stream";
    call.body = std::move(content);
    auto const response = co_await call_alone(std::move(call));
    co_return response &&
        (response.value().status == http_ok || response.value().status == http_created);
}

net::awaitable<std::optional<std::string>> platform_client::read_object(std::string name)
{
    http_request call;
    call.target = "/objects/" + protocol::url_encoded(name);
    auto response = co_await call_alone(std::move(call));
    // An object may have any content, so only a length or chunks show that it is whole.
    if (response && response.value().ends_with_connection())
        co_return std::nullopt;
    co_return body_of(std::move(response));
}

net::awaitable<std::optional<instance_list>> platform_client::read_instances(
    std::uint64_t known_revision)
{
    http_request call;
    call.target = "/instances?after=" + std::to_string(known_revision);
    auto const response = co_await http_.call(address_, std::move(call), timeout_);
    if (!response || response.value().status != http_ok)
        co_return std::nullopt;
    auto const body = protocol::decode_instances(response.value().body);
    if (!body)
        co_return std::nullopt;
    instance_list list;
    auto const revision = std::string{response.value().headers["X-Revision"]};
    std::from_chars(revision.data(), revision.data() + revision.size(), list.revision);
    list.instances = body.value();
    co_return list;
}

net::awaitable<std::optional<std::vector<protocol::reclaim_notice>>> platform_client::read_notices()
{
    http_request call;
    call.target = "/notices";
    auto const body = body_of(co_await http_.call(address_, std::move(call), timeout_));
    if (!body)
        co_return std::nullopt;
    auto notices = protocol::decode_notices(*body);
    if (!notices)
        co_return std::nullopt;
    co_return std::move(notices.value());
}

} // namespace auburnweir::transport
