#include "http_standin.hpp"

#include <map>

/// Stand-in for a plain service: counts how often each operation ran.

namespace
{

using namespace auburnweir;
using namespace auburnweir::standins;

class plain_service
{
public:
    explicit plain_service(net::io_context& io)
        : io_(io)
    {
    }

    net::awaitable<void> handle(standin_request request, standin_connection& connection)
    {
        if (request.target == "/control")
            co_await control(std::move(request), connection);
        else if (request.target == "/runs")
            co_await runs(connection);
        else
            co_await operate(std::move(request), connection);
    }

private:
    static std::string name_of(standin_request const& request)
    {
        auto const key = request.header("Idempotency-Key");
        return key.empty() ? request.header("X-Request-Id") : key;
    }

    net::awaitable<void> operate(standin_request request, standin_connection& connection)
    {
        if (not_run_)
        {
            transport::caller_response reply;
            reply.status = 503;
            reply.headers.emplace_back("X-Operation-Run", "not_run");
            co_await connection.writer.send(std::move(reply));
            co_return;
        }
        if (refuse_status_ != 0)
        {
            co_await send_status(connection, static_cast<int>(refuse_status_));
            co_return;
        }
        auto const name = name_of(request);
        auto const run = ++runs_[name];
        if (delay_ms_ > 0)
            co_await transport::sleep_for(io_, std::chrono::milliseconds{delay_ms_});
        if (cut_after_effect_)
        {
            connection.cut();
            co_return;
        }
        co_await send_json(connection, 200, answer_body(request, name, run));
    }

    static json answer_body(
        standin_request const& request, std::string const& name, std::int64_t run)
    {
        return {
            {"operation", request.target.substr(1)},
            {"key", name},
            {"run", run},
            {"echo", request.body}};
    }

    net::awaitable<void> control(standin_request request, standin_connection& connection)
    {
        auto const body = protocol::parse_json(request.body);
        if (!body)
        {
            co_await send_status(connection, 400);
            co_return;
        }
        delay_ms_ = protocol::integer_at(*body, "delay_ms", delay_ms_);
        refuse_status_ = protocol::integer_at(*body, "refuse_status", refuse_status_);
        not_run_ = protocol::flag_at(*body, "not_run", not_run_);
        cut_after_effect_ = protocol::flag_at(*body, "cut_after_effect", cut_after_effect_);
        co_await send_status(connection, 200);
    }

    net::awaitable<void> runs(standin_connection& connection)
    {
        json body = json::object();
        for (auto const& [name, count] : runs_)
            body[name] = count;
        co_await send_json(connection, 200, body);
    }

    net::io_context& io_;
    std::map<std::string, std::int64_t> runs_;
    std::int64_t delay_ms_ = 0;
    std::int64_t refuse_status_ = 0;
    bool not_run_ = false;
    bool cut_after_effect_ = false;
};

} // namespace

int main()
{
    net::io_context io(1);
    plain_service service(io);
    return run_standin(
        io, 0,
        [&service](standin_request request, standin_connection& connection)
        { return service.handle(std::move(request), connection); });
}
