#include "http_standin.hpp"
#include "platform/base64.hpp"
#include "transport/clock.hpp"

#include <map>

/// Stands in for the platform's metadata store and its calls for usage and orders.
///
/// `POST /control` puts or removes rows, sets faults and drops the history; `GET /duties` lists the
/// calls of the duties that were made.

namespace
{

using namespace auburnweir;
using namespace auburnweir::standins;

struct row_name
{
    std::string table;
    std::string key;

    friend auto operator<=>(row_name const&, row_name const&) = default;
};

struct stored
{
    std::string value; ///< in base64
    std::uint64_t version = 0;
    bool removed = false;
};

constexpr state::duration watch_step = std::chrono::milliseconds{10};
constexpr std::size_t rows_a_page = 50;

std::string query(std::string const& target, std::string const& name)
{
    auto const mark = name + "=";
    auto at = target.find("?" + mark);
    if (at == std::string::npos)
        at = target.find("&" + mark);
    if (at == std::string::npos)
        return {};
    auto const begin = at + 1 + mark.size();
    return target.substr(begin, target.find('&', begin) - begin);
}

std::string unescaped(std::string const& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] != '%')
        {
            out += text[i];
            continue;
        }
        out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
    }
    return out;
}

class metadata_store
{
public:
    explicit metadata_store(net::io_context& io)
        : io_(io)
    {
    }

    net::awaitable<void> handle(standin_request request, standin_connection& connection)
    {
        auto const path = request.target.substr(0, request.target.find('?'));
        bool const by_test = path == "/control" || path == "/duties" || path == "/rows";
        if (!by_test && delay_ms_ > 0)
            co_await transport::sleep_for(io_, std::chrono::milliseconds{delay_ms_});
        if (path == "/control")
            co_await control(request, connection);
        else if (path == "/duties")
            co_await send_json(connection, 200, duties_);
        else if (path == "/rows")
            co_await send_rows(connection, unescaped(query(request.target, "table")), {}, false);
        else if (down_)
            co_await send_status(connection, 503);
        else if (path == "/usage" || path == "/scale")
            co_await duty(request, connection);
        else if (path == "/api/rows-get")
            co_await read(request, connection);
        else if (path == "/api/rows-feed")
            co_await feed(request, connection);
        else if (path == "/api/rows-tx")
            co_await transact(request, connection);
        else
            co_await send_status(connection, 404);
    }

private:
    json encoded(row_name const& name, stored const& row) const
    {
        json out{{"table", name.table}, {"part", ""}, {"key", name.key}, {"ver", row.version}};
        if (row.removed)
            out["removed"] = true;
        else
            out["value"] = row.value;
        return out;
    }

    json answer() const
    {
        auto const ms = std::chrono::duration_cast<std::chrono::milliseconds>(
            transport::now().time_since_epoch());
        return {{"rows", json::array()}, {"ver", version_}, {"nowMs", ms.count()}};
    }

    net::awaitable<void> send_rows(
        standin_connection& connection, std::string table, std::string from, bool paged)
    {
        auto body = answer();
        body["truncated"] = false;
        for (auto const& [name, row] : rows_)
        {
            if (name.table != table || name.key < from || row.removed)
                continue;
            if (paged && body["rows"].size() == rows_a_page)
            {
                body["truncated"] = true;
                break;
            }
            body["rows"].push_back(encoded(name, row));
        }
        co_await send_json(connection, 200, body);
    }

    net::awaitable<void> read(standin_request const& request, standin_connection& connection)
    {
        co_await send_rows(
            connection, unescaped(query(request.target, "table")),
            unescaped(query(request.target, "from")), true);
    }

    net::awaitable<void> feed(standin_request const& request, standin_connection& connection)
    {
        auto const table = unescaped(query(request.target, "table"));
        auto const since = std::stoull(query(request.target, "sinceRev"));
        auto const wait = std::chrono::milliseconds{std::stoll(query(request.target, "waitMs"))};
        auto const until = transport::now() + wait;
        if (since < history_from_)
        {
            co_await send_status(connection, 410);
            co_return;
        }
        for (;;)
        {
            auto body = answer();
            for (auto const& [name, row] : rows_)
                if (name.table == table && row.version > since)
                    body["rows"].push_back(encoded(name, row));
            if (!body["rows"].empty() || transport::now() >= until)
            {
                co_await send_json(connection, 200, body);
                co_return;
            }
            co_await transport::sleep_for(io_, watch_step);
        }
    }

    net::awaitable<void> transact(standin_request const& request, standin_connection& connection)
    {
        auto const body = protocol::parse_json(request.body);
        if (!body)
        {
            co_await send_status(connection, 400);
            co_return;
        }
        for (auto const& condition : protocol::array_at(*body, "expectedRev"))
        {
            row_name const name{
                protocol::text_at(condition, "table"), protocol::text_at(condition, "key")};
            auto const it = rows_.find(name);
            auto const version = it == rows_.end() || it->second.removed ? 0 : it->second.version;
            if (version != static_cast<std::uint64_t>(protocol::integer_at(condition, "ver")))
            {
                co_await send_json(connection, 412, answer());
                co_return;
            }
        }
        ++version_;
        for (auto const& write : protocol::array_at(*body, "writes"))
            rows_[{protocol::text_at(write, "table"), protocol::text_at(write, "key")}] = {
                protocol::text_at(write, "value"), version_, false};
        if (lose_answers_ > 0)
        {
            --lose_answers_;
            connection.cut();
            co_return;
        }
        co_await send_json(connection, 200, answer());
    }

    net::awaitable<void> duty(standin_request const& request, standin_connection& connection)
    {
        json call = protocol::parse_json(request.body).value_or(json::object());
        call["path"] = request.target;
        call["holder"] = request.header("Auburnweir-Duty-Holder");
        call["at_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                            transport::now().time_since_epoch())
                            .count();
        call["fencing"] = request.header("Auburnweir-Fencing-Token");
        duties_.push_back(std::move(call));
        co_await send_status(connection, 200);
    }

    net::awaitable<void> control(standin_request const& request, standin_connection& connection)
    {
        auto const body = protocol::parse_json(request.body);
        if (!body)
        {
            co_await send_status(connection, 400);
            co_return;
        }
        for (auto const& row : protocol::array_at(*body, "put"))
            rows_[{protocol::text_at(row, "table"), protocol::text_at(row, "key")}] = {
                platform::encode_base64(protocol::text_at(row, "value")), ++version_, false};
        for (auto const& row : protocol::array_at(*body, "remove"))
            rows_[{protocol::text_at(row, "table"), protocol::text_at(row, "key")}] = {
                {}, ++version_, true};
        down_ = protocol::flag_at(*body, "down", down_);
        delay_ms_ = protocol::integer_at(*body, "delay_ms", delay_ms_);
        lose_answers_ = protocol::integer_at(*body, "lose_answers", lose_answers_);
        if (protocol::flag_at(*body, "drop_history"))
            history_from_ = ++version_;
        co_await send_status(connection, 200);
    }

    net::io_context& io_;
    std::map<row_name, stored> rows_;
    json duties_ = json::array();
    std::uint64_t version_ = 1;
    std::uint64_t history_from_ = 0;
    std::int64_t lose_answers_ = 0;
    std::int64_t delay_ms_ = 0;
    bool down_ = false;
};

} // namespace

int main()
{
    net::io_context io(1);
    metadata_store store(io);
    return run_standin(
        io, 0,
        [&store](standin_request request, standin_connection& connection)
        { return store.handle(std::move(request), connection); });
}
