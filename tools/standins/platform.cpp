#include "http_standin.hpp"
#include "protocol/platform_codec.hpp"
#include "transport/clock.hpp"

#include <map>

/// Stand-in for the platform: table service, object store, instance list and reclaim notices.

namespace
{

using namespace auburnweir;
using namespace auburnweir::standins;

struct stored_row
{
    std::uint64_t version;
    std::string value;
};

struct pending_notice
{
    std::string subject;
    state::time_point deadline;
};

class platform
{
public:
    explicit platform(net::io_context& io)
        : io_(io)
    {
    }

    net::awaitable<void> handle(standin_request request, standin_connection& connection)
    {
        auto const& target = request.target;
        if (target.rfind("/control", 0) == 0)
        {
            co_await control(std::move(request), connection);
            co_return;
        }
        if (target == "/statistics")
        {
            co_await send_json(connection, 200, statistics_body());
            co_return;
        }
        if (delay_ms_ > 0)
            co_await transport::sleep_for(io_, std::chrono::milliseconds{delay_ms_});
        if (down_)
        {
            co_await send_status(connection, 503);
            co_return;
        }
        if (target == "/table/transact")
            co_await transact(std::move(request), connection);
        else if (target.rfind("/table/row", 0) == 0)
            co_await read_row(std::move(request), connection);
        else if (target.rfind("/table/scan", 0) == 0)
            co_await scan(std::move(request), connection);
        else if (target.rfind("/objects/", 0) == 0)
            co_await handle_object(std::move(request), connection);
        else if (target.rfind("/instances", 0) == 0)
            co_await instances(std::move(request), connection);
        else if (target == "/notices")
            co_await notices(connection);
        else
            co_await send_status(connection, 404);
    }

private:
    json statistics_body() const
    {
        return {
            {"transactions", transactions_}, {"rows_written", rows_written_}, {"reads", reads_}};
    }

    net::awaitable<void> transact(standin_request request, standin_connection& connection)
    {
        auto const writes = protocol::decode_transaction(request.body);
        if (!writes)
        {
            co_await send_status(connection, 400);
            co_return;
        }
        ++transactions_;
        std::vector<state::table_row> conflicts;
        for (auto const& w : writes.value())
        {
            auto const it = rows_.find(w.key.str());
            auto const version = it == rows_.end() ? 0 : it->second.version;
            if (version == w.expect.count())
                continue;
            conflicts.push_back(
                {w.key, state::row_version{version},
                 it == rows_.end() ? std::string{} : it->second.value});
        }
        transport::caller_response response;
        if (!conflicts.empty())
        {
            response.status = 409;
            response.body = protocol::encode_rows(conflicts);
            co_await connection.writer.send(std::move(response));
            co_return;
        }
        response.body = protocol::encode_versions(apply_writes(writes.value()));
        if (lose_answers_ > 0)
        {
            --lose_answers_;
            connection.reset();
            co_return;
        }
        co_await connection.writer.send(std::move(response));
    }

    std::vector<state::row_version> apply_writes(std::vector<state::table_write> const& writes)
    {
        std::vector<state::row_version> versions;
        for (auto const& w : writes)
        {
            ++rows_written_;
            auto const version = w.expect.count() + 1;
            if (w.erase)
                rows_.erase(w.key.str());
            else
                rows_[w.key.str()] = {version, w.value};
            versions.emplace_back(version);
        }
        return versions;
    }

    net::awaitable<void> read_row(standin_request request, standin_connection& connection)
    {
        ++reads_;
        auto const key = protocol::query_value(request.target, "key");
        auto const it = rows_.find(key);
        if (it == rows_.end())
        {
            co_await send_status(connection, 404);
            co_return;
        }
        transport::caller_response response;
        response.body = protocol::encode_rows(
            {{state::row_key{key}, state::row_version{it->second.version}, it->second.value}});
        co_await connection.writer.send(std::move(response));
    }

    net::awaitable<void> scan(standin_request request, standin_connection& connection)
    {
        ++reads_;
        auto const prefix = protocol::query_value(request.target, "prefix");
        auto const after = protocol::query_value(request.target, "after");
        auto const limit = std::stoull(protocol::query_value(request.target, "limit"));
        std::vector<state::table_row> found;
        for (auto it = rows_.upper_bound(std::max(prefix, after)); it != rows_.end(); ++it)
        {
            if (it->first.rfind(prefix, 0) != 0 || found.size() >= limit)
                break;
            found.push_back(
                {state::row_key{it->first}, state::row_version{it->second.version},
                 it->second.value});
        }
        transport::caller_response response;
        response.body = protocol::encode_rows(found);
        co_await connection.writer.send(std::move(response));
    }

    net::awaitable<void> handle_object(standin_request request, standin_connection& connection)
    {
        auto const name =
            protocol::url_decoded(request.target.substr(std::string{"/objects/"}.size()));
        if (request.method == "PUT")
        {
            objects_[name.value_or("")] = std::move(request.body);
            co_await send_status(connection, 201);
            co_return;
        }
        auto const it = objects_.find(name.value_or(""));
        if (it == objects_.end())
        {
            co_await send_status(connection, 404);
            co_return;
        }
        transport::caller_response response;
        response.content_type = "application/octet-stream";
        response.body = it->second;
        co_await connection.writer.send(std::move(response));
    }

    net::awaitable<void> instances(standin_request request, standin_connection& connection)
    {
        ++reads_;
        auto const after = protocol::query_value(request.target, "after");
        auto const known_revision = after.empty() ? 0 : std::stoull(after);
        transport::caller_response response;
        response.headers.emplace_back("X-Revision", std::to_string(revision_));
        response.body = protocol::encode_instances(
            known_revision >= revision_ ? std::vector<state::instance>{} : instances_);
        co_await connection.writer.send(std::move(response));
    }

    net::awaitable<void> notices(standin_connection& connection)
    {
        ++reads_;
        std::vector<protocol::reclaim_notice> all;
        for (auto const& n : notices_)
            all.push_back({n.subject, std::max(n.deadline - transport::now(), state::duration{0})});
        transport::caller_response response;
        response.body = protocol::encode_notices(all);
        co_await connection.writer.send(std::move(response));
    }

    net::awaitable<void> control(standin_request request, standin_connection& connection)
    {
        if (request.target == "/control/instances")
        {
            auto list = protocol::decode_instances(request.body);
            if (list)
                instances_ = std::move(list.value());
            ++revision_;
            co_await send_status(connection, list ? 200 : 400);
            co_return;
        }
        if (request.target == "/control/notices")
        {
            auto const list = protocol::decode_notices(request.body);
            if (list)
                for (auto const& n : list.value())
                    notices_.push_back({n.subject, transport::now() + n.time_left});
            co_await send_status(connection, list ? 200 : 400);
            co_return;
        }
        auto const body = protocol::parse_json(request.body);
        if (!body)
        {
            co_await send_status(connection, 400);
            co_return;
        }
        down_ = protocol::flag_at(*body, "down", down_);
        delay_ms_ = protocol::integer_at(*body, "delay_ms", delay_ms_);
        lose_answers_ = protocol::integer_at(*body, "lose_answers", lose_answers_);
        co_await send_status(connection, 200);
    }

    net::io_context& io_;
    std::map<std::string, stored_row> rows_;
    std::map<std::string, std::string> objects_;
    std::vector<state::instance> instances_;
    std::vector<pending_notice> notices_;
    std::uint64_t revision_ = 1;
    std::int64_t transactions_ = 0;
    std::int64_t rows_written_ = 0;
    std::int64_t reads_ = 0;
    bool down_ = false;
    std::int64_t delay_ms_ = 0;
    std::int64_t lose_answers_ = 0;
};

} // namespace

int main()
{
    net::io_context io(1);
    platform p(io);
    return run_standin(
        io, 0,
        [&p](standin_request request, standin_connection& connection)
        { return p.handle(std::move(request), connection); });
}
