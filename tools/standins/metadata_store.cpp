#include "http_standin.hpp"
#include "platform/base64.hpp"
#include "transport/clock.hpp"

#include <map>
#include <tuple>

/// Stand-in for the platform's metadata store and its endpoints for usage reports and scaling
/// orders.
///
/// `POST /control` puts or removes rows, sets faults, drops the history, keeps a copy of the rows
/// and returns to it in a new era; `GET /duties` lists the duty calls received.

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

struct stored_row
{
    std::string value; ///< base64
    std::uint64_t version = 0;
    bool removed = false;
};

constexpr state::duration feed_poll_interval = std::chrono::milliseconds{10};
constexpr std::size_t max_rows_per_page = 50;

std::string query_parameter(std::string const& target, std::string const& name)
{
    auto const assignment = name + "=";
    auto at = target.find("?" + assignment);
    if (at == std::string::npos)
        at = target.find("&" + assignment);
    if (at == std::string::npos)
        return {};
    auto const begin = at + 1 + assignment.size();
    return target.substr(begin, target.find('&', begin) - begin);
}

std::string percent_decoded(std::string const& text)
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
        bool const is_test_request = path == "/control" || path == "/duties" || path == "/rows";
        if (!is_test_request && delay_ms_ > 0)
            co_await transport::sleep_for(io_, std::chrono::milliseconds{delay_ms_});
        if (path == "/control")
            co_await control(request, connection);
        else if (path == "/duties")
            co_await send_json(connection, 200, duty_calls_);
        else if (path == "/rows")
            co_await send_rows(
                connection, percent_decoded(query_parameter(request.target, "table")), {}, false);
        else if (down_)
            co_await send_status(connection, 503);
        else if (endless_)
            co_await send_without_end(io_, connection, *endless_);
        else if (path == "/usage" || path == "/scale")
            co_await record_duty_call(request, connection);
        else if (path == "/api/rows-get")
            co_await read_rows(request, connection);
        else if (path == "/api/rows-feed")
            co_await feed_rows(request, connection);
        else if (path == "/api/rows-tx")
            co_await transact(request, connection);
        else
            co_await send_status(connection, 404);
    }

private:
    json encode_row(row_name const& name, stored_row const& row) const
    {
        json out{{"table", name.table}, {"part", ""}, {"key", name.key}, {"ver", row.version}};
        if (row.removed)
            out["removed"] = true;
        else
            out["value"] = row.value;
        return out;
    }

    json response_body() const
    {
        auto const ms = std::chrono::duration_cast<std::chrono::milliseconds>(
            transport::now().time_since_epoch());
        return {{"rows", json::array()}, {"ver", version_}, {"nowMs", ms.count()}};
    }

    response_headers era_header() const { return {{"Store-Era", std::to_string(era_)}}; }

    net::awaitable<void> send_rows(
        standin_connection& connection, std::string table, std::string from, bool paged)
    {
        auto body = response_body();
        body["truncated"] = false;
        for (auto const& [name, row] : rows_)
        {
            if (name.table != table || name.key < from || row.removed)
                continue;
            if (paged && body["rows"].size() == max_rows_per_page)
            {
                body["truncated"] = true;
                break;
            }
            body["rows"].push_back(encode_row(name, row));
        }
        co_await send_json(connection, 200, body, era_header());
    }

    net::awaitable<void> read_rows(standin_request const& request, standin_connection& connection)
    {
        co_await send_rows(
            connection, percent_decoded(query_parameter(request.target, "table")),
            percent_decoded(query_parameter(request.target, "from")), true);
    }

    /// Adds the oldest changes after `since`, as many as one response holds.
    void add_changes(json& body, std::string const& table, std::uint64_t since) const
    {
        std::map<std::uint64_t, json> changes;
        for (auto const& [name, row] : rows_)
            if (name.table == table && row.version > since)
                changes[row.version] = encode_row(name, row);
        for (auto& [version, row] : changes)
        {
            body["truncated"] = body["rows"].size() == max_feed_rows_;
            if (body["truncated"])
                return;
            body["rows"].push_back(std::move(row));
        }
    }

    net::awaitable<void> feed_rows(standin_request const& request, standin_connection& connection)
    {
        auto const table = percent_decoded(query_parameter(request.target, "table"));
        auto const since = std::stoull(query_parameter(request.target, "sinceRev"));
        auto const wait =
            std::chrono::milliseconds{std::stoll(query_parameter(request.target, "waitMs"))};
        auto const deadline = transport::now() + wait;
        auto const era = era_;
        bool const is_known = since >= history_start_ && since <= version_;
        if (!is_known)
        {
            co_await send_status(connection, 410, era_header());
            co_return;
        }
        for (;;)
        {
            if (era_ != era)
            {
                connection.reset();
                co_return;
            }
            auto body = response_body();
            add_changes(body, table, since);
            if (!body["rows"].empty() || transport::now() >= deadline)
            {
                co_await send_json(connection, 200, body, era_header());
                co_return;
            }
            co_await transport::sleep_for(io_, feed_poll_interval);
        }
    }

    net::awaitable<void> transact(standin_request const& request, standin_connection& connection)
    {
        auto const body = protocol::parse_json(request.body);
        if (!body)
        {
            co_await send_status(connection, 400, era_header());
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
                co_await send_json(connection, 412, response_body(), era_header());
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
            connection.reset();
            co_return;
        }
        co_await send_json(connection, 200, response_body(), era_header());
    }

    net::awaitable<void> record_duty_call(
        standin_request const& request, standin_connection& connection)
    {
        json call = protocol::parse_json(request.body).value_or(json::object());
        call["path"] = request.target;
        call["holder"] = request.header("Auburnweir-Duty-Holder");
        call["at_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                            transport::now().time_since_epoch())
                            .count();
        call["fencing"] = request.header("Auburnweir-Fencing-Token");
        duty_calls_.push_back(std::move(call));
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
        if (body->contains("endless"))
            endless_ = decode_endless(*body);
        max_feed_rows_ = static_cast<std::size_t>(protocol::integer_at(
            *body, "max_feed_rows", static_cast<std::int64_t>(max_feed_rows_)));
        if (protocol::flag_at(*body, "drop_history"))
            history_start_ = ++version_;
        if (protocol::flag_at(*body, "copy"))
            copy_ = {rows_, version_};
        if (protocol::flag_at(*body, "restore"))
        {
            std::tie(rows_, version_) = copy_;
            ++era_;
        }
        co_await send_status(connection, 200);
    }

    net::io_context& io_;
    std::map<row_name, stored_row> rows_;
    std::pair<std::map<row_name, stored_row>, std::uint64_t> copy_; ///< rows and version
    json duty_calls_ = json::array();
    std::uint64_t version_ = 1;
    std::uint64_t era_ = 1; ///< rises with each return to a copy
    std::uint64_t history_start_ = 0;
    std::int64_t lose_answers_ = 0;
    std::int64_t delay_ms_ = 0;
    bool down_ = false;
    std::optional<endless_bytes> endless_; ///< in place of all responses but those to tests
    std::size_t max_feed_rows_ = 500;
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
