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
constexpr int http_unavailable = 503;

using results = std::vector<state::write_result>;

results all_as(std::size_t count, state::write_result const& value)
{
    return results(count, value);
}

results written(std::vector<state::table_write> const& writes, std::string const& body)
{
    auto const versions = protocol::decode_versions(body);
    if (!versions || versions.value().size() != writes.size())
        return all_as(writes.size(), state::write_response_lost{});
    results out;
    for (auto const v : versions.value())
        out.emplace_back(state::write_done{v});
    return out;
}

results conflicting(std::vector<state::table_write> const& writes, std::string const& body)
{
    auto const rows = protocol::decode_rows(body);
    if (!rows)
        return all_as(writes.size(), state::write_response_lost{});
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

platform_client::platform_client(http_client& http, state::endpoint address, state::duration limit)
    : http_(http)
    , address_(std::move(address))
    , limit_(limit)
{
}

net::awaitable<std::vector<state::write_result>> platform_client::transact(
    std::vector<state::table_write> writes)
{
    http_call call;
    call.method = "POST";
    call.target = "/table/transact";
    call.content_type = "application/json";
    call.body = protocol::encode_transaction(writes);
    auto const reply = co_await http_.call(address_, std::move(call), limit_);
    if (!reply && reply.error() == http_fault::connect_failed)
        co_return all_as(writes.size(), state::write_refused{});
    if (!reply)
        co_return all_as(writes.size(), state::write_response_lost{});
    switch (reply.value().status)
    {
    case http_ok:
        co_return written(writes, reply.value().body);
    case http_conflict:
        co_return conflicting(writes, reply.value().body);
    case http_unavailable:
        co_return all_as(writes.size(), state::write_refused{});
    default:
        co_return all_as(writes.size(), state::write_response_lost{});
    }
}

net::awaitable<state::read_result> platform_client::read(state::row_key key)
{
    http_call call;
    call.target = "/table/row?key=" + protocol::url_encoded(key.str());
    auto const reply = co_await http_.call(address_, std::move(call), limit_);
    if (!reply)
        co_return state::read_failed{};
    if (reply.value().status == http_not_found)
        co_return state::row_absent{};
    if (reply.value().status != http_ok)
        co_return state::read_failed{};
    auto rows = protocol::decode_rows(reply.value().body);
    if (!rows || rows.value().size() != 1)
        co_return state::read_failed{};
    co_return std::move(rows.value().front());
}

net::awaitable<std::optional<std::string>> platform_client::fetch(std::string target)
{
    http_call call;
    call.target = std::move(target);
    auto reply = co_await http_.call(address_, std::move(call), limit_);
    if (!reply || reply.value().status != http_ok)
        co_return std::nullopt;
    co_return std::move(reply.value().body);
}

net::awaitable<std::optional<std::vector<state::table_row>>> platform_client::scan(
    std::string prefix, std::string after, std::size_t limit)
{
    auto const body = co_await fetch(
        "/table/scan?prefix=" + protocol::url_encoded(prefix) +
        "&after=" + protocol::url_encoded(after) + "&limit=" + std::to_string(limit));
    if (!body)
        co_return std::nullopt;
    auto rows = protocol::decode_rows(*body);
    if (!rows)
        co_return std::nullopt;
    co_return std::move(rows.value());
}

net::awaitable<bool> platform_client::put_object(std::string name, std::string content)
{
    http_call call;
    call.method = "PUT";
    call.target = "/objects/" + protocol::url_encoded(name);
    call.content_type = "application/octet-stream";
    call.body = std::move(content);
    auto const reply = co_await http_.call(address_, std::move(call), limit_);
    co_return reply && (reply.value().status == http_ok || reply.value().status == http_created);
}

net::awaitable<std::optional<std::string>> platform_client::object(std::string name)
{
    co_return co_await fetch("/objects/" + protocol::url_encoded(name));
}

net::awaitable<std::optional<instance_list>> platform_client::instances(std::uint64_t known)
{
    http_call call;
    call.target = "/instances?after=" + std::to_string(known);
    auto const reply = co_await http_.call(address_, std::move(call), limit_);
    if (!reply || reply.value().status != http_ok)
        co_return std::nullopt;
    auto const body = protocol::decode_instances(reply.value().body);
    if (!body)
        co_return std::nullopt;
    instance_list list;
    auto const revision = std::string{reply.value().headers["X-Revision"]};
    std::from_chars(revision.data(), revision.data() + revision.size(), list.revision);
    list.instances = body.value();
    co_return list;
}

net::awaitable<std::optional<std::vector<protocol::reclaim_notice>>> platform_client::notices()
{
    auto const body = co_await fetch("/notices");
    if (!body)
        co_return std::nullopt;
    auto notices = protocol::decode_notices(*body);
    if (!notices)
        co_return std::nullopt;
    co_return std::move(notices.value());
}

} // namespace auburnweir::transport
