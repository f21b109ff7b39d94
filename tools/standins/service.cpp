#include "http_standin.hpp"

#include <map>

/// Stand-in for a plain service. Counts the runs per idempotency key or request id.

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
            co_await send_run_counts(connection);
        else
            co_await run_operation(std::move(request), connection);
    }

private:
    static std::string run_key_of(standin_request const& request)
    {
        auto const key = request.header("Idempotency-Key");
        return key.empty() ? request.header("X-Request-Id") : key;
    }

    net::awaitable<void> run_operation(standin_request request, standin_connection& connection)
    {
        if (not_run_)
        {
            transport::caller_response response;
            response.status = 503;
            response.headers.emplace_back("X-Operation-Run", "not_run");
            co_await connection.writer.send(std::move(response));
            co_return;
        }
        if (refuse_status_ != 0)
        {
            co_await send_status(connection, static_cast<int>(refuse_status_));
            co_return;
        }
        auto const run_key = run_key_of(request);
        auto const run_number = ++runs_[run_key];
        if (delay_ms_ > 0)
            co_await transport::sleep_for(io_, std::chrono::milliseconds{delay_ms_});
        if (cut_after_effect_)
        {
            connection.reset();
            co_return;
        }
        auto const body = response_body(request, run_key, run_number);
        if (repeat_answers_ && !connection.last_exchange.empty())
            co_await send_json(connection, 200, *protocol::parse_json(connection.last_exchange));
        connection.last_exchange = protocol::dump(body);
        if (unframed_pause_ms_ > 0)
            co_await send_unframed(connection.last_exchange, connection);
        else
            co_await send_json(connection, 200, body);
    }

    /// Sends a body with neither a length nor chunks in two parts.
    net::awaitable<void> send_unframed(std::string body, standin_connection& connection)
    {
        transport::caller_response response;
        response.content_type = content_type_;
        co_await connection.writer.begin(std::move(response), transport::unframed_body{});
        auto first = body.substr(0, body.size() / 2);
        co_await connection.writer.send_part(std::move(first));
        co_await transport::sleep_for(io_, std::chrono::milliseconds{unframed_pause_ms_});
        auto rest = body.substr(body.size() / 2);
        co_await connection.writer.send_part(std::move(rest));
        boost::system::error_code ignored;
        connection.stream.socket().close(ignored);
    }

    static json response_body(
        standin_request const& request, std::string const& run_key, std::int64_t run_number)
    {
        return {
            {"operation", request.target.substr(1)},
            {"key", run_key},
            {"run", run_number},
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
        repeat_answers_ = protocol::flag_at(*body, "repeat_answers", repeat_answers_);
        cut_after_effect_ = protocol::flag_at(*body, "cut_after_effect", cut_after_effect_);
        unframed_pause_ms_ = protocol::integer_at(*body, "unframed_pause_ms", unframed_pause_ms_);
        content_type_ = protocol::text_at(*body, "content_type", content_type_);
        co_await send_status(connection, 200);
    }

    net::awaitable<void> send_run_counts(standin_connection& connection)
    {
        json body = json::object();
        for (auto const& [run_key, count] : runs_)
            body[run_key] = count;
        co_await send_json(connection, 200, body);
    }

    net::io_context& io_;
    std::map<std::string, std::int64_t> runs_;
    std::int64_t delay_ms_ = 0;
    std::int64_t refuse_status_ = 0;
    bool not_run_ = false;
    bool repeat_answers_ = false; ///< sends each answer once more, ahead of the connection's next
    bool cut_after_effect_ = false;
    /// Between the two parts of an answer that ends with its connection; 0: answers have a length.
    std::int64_t unframed_pause_ms_ = 0;
    std::string content_type_ = "application/json"; ///< of unframed answers
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
