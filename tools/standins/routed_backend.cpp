#include "http_standin.hpp"

#include <map>

/// Stands in for a backend server that the gateway forwards to.
///
/// Answers with what it got, as JSON or, for `/stream/` paths, as an event stream.
/// `POST /control` sets faults; `GET /runs` tells how often each request ran and what came last.

namespace
{

using namespace auburnweir;
using namespace auburnweir::standins;

class routed_backend
{
public:
    routed_backend(net::io_context& io, std::string id)
        : io_(io)
        , id_(std::move(id))
    {
    }

    net::awaitable<void> handle(standin_request request, standin_connection& connection)
    {
        if (request.target == "/control")
            co_await control(request, connection);
        else if (request.target == "/runs")
            co_await send_json(connection, 200, statistics());
        else
            co_await serve(std::move(request), connection);
    }

private:
    transport::caller_response head(standin_request const& request, int status) const
    {
        transport::caller_response reply;
        reply.status = status;
        reply.headers = {
            {"Auburnweir-Attempt-Id", request.header("Auburnweir-Attempt-Id")},
            {"Auburnweir-Instance-Stamp", id_ + "." + request.header("Auburnweir-Attempt-Id")},
            {"Auburnweir-Instance-Load", "1,0,8"}};
        return reply;
    }

    std::string echo(standin_request const& request) const
    {
        return protocol::dump({{"server", id_}, {"echo", request.body}});
    }

    json statistics() const { return {{"runs", runs_}, {"last", last_}}; }

    static transport::caller_response refusal(int status)
    {
        transport::caller_response reply;
        reply.status = status;
        reply.headers = {{"Auburnweir-Not-Executed", "1"}};
        return reply;
    }

    net::awaitable<void> serve(standin_request request, standin_connection& connection)
    {
        auto const attempt = request.header("Auburnweir-Attempt-Id");
        auto const expected = request.header("Auburnweir-Expected-Instance");
        if (not_run_ || (!expected.empty() && expected != id_))
        {
            auto reply = refusal(not_run_ ? 503 : 421);
            co_await connection.writer.send(std::move(reply));
            co_return;
        }
        runs_[attempt] = runs_.value(attempt, 0) + 1;
        note(request);
        if (delay_ms_ > 0)
            co_await transport::sleep_for(io_, std::chrono::milliseconds{delay_ms_});
        if (cut_)
        {
            connection.cut();
            co_return;
        }
        if (request.target.find("/stream/") != std::string::npos && status_ == 200)
        {
            co_await stream(request, connection);
            co_return;
        }
        auto reply = head(request, status_);
        reply.body = echo(request);
        co_await connection.writer.send(std::move(reply));
    }

    net::awaitable<void> stream(standin_request const& request, standin_connection& connection)
    {
        auto reply = head(request, 200);
        reply.content_type = "text/event-stream";
        auto const after = request.header("Last-Event-Id");
        std::int64_t const first = after.empty() ? 1 : std::stoll(after) + 1;
        co_await connection.writer.begin(std::move(reply));
        for (auto event = first; event <= events_; ++event)
        {
            if (cut_after_ > 0 && event > cut_after_)
            {
                // Ends in the middle of an event.
                co_await connection.writer.send_chunk("id: " + std::to_string(event) + "\nda");
                connection.cut();
                co_return;
            }
            auto const number = std::to_string(event);
            co_await connection.writer.send_chunk(
                "id: " + number + "\ndata: token-" + number + "\n\n");
            co_await transport::sleep_for(io_, std::chrono::milliseconds{event_ms_});
        }
        co_await connection.writer.end();
    }

    void note(standin_request const& request)
    {
        last_ = json::object();
        last_["target"] = request.target;
        last_["body"] = request.body;
        for (auto const& field : request.headers)
            last_["headers"][std::string{field.name_string()}] = std::string{field.value()};
    }

    net::awaitable<void> control(standin_request const& request, standin_connection& connection)
    {
        auto const body = protocol::parse_json(request.body);
        if (!body)
        {
            co_await send_status(connection, 400);
            co_return;
        }
        status_ = static_cast<int>(protocol::integer_at(*body, "status", status_));
        delay_ms_ = protocol::integer_at(*body, "delay_ms", delay_ms_);
        event_ms_ = protocol::integer_at(*body, "event_ms", event_ms_);
        events_ = protocol::integer_at(*body, "events", events_);
        cut_after_ = protocol::integer_at(*body, "cut_after", cut_after_);
        not_run_ = protocol::flag_at(*body, "not_run", not_run_);
        cut_ = protocol::flag_at(*body, "cut", cut_);
        co_await send_status(connection, 200);
    }

    net::io_context& io_;
    std::string id_;
    json runs_ = json::object();
    json last_;
    int status_ = 200;
    std::int64_t delay_ms_ = 0;
    std::int64_t event_ms_ = 5;
    std::int64_t events_ = 10;
    std::int64_t cut_after_ = 0;
    bool not_run_ = false;
    bool cut_ = false;
};

} // namespace

int main(int argc, char** argv)
{
    net::io_context io(1);
    routed_backend backend(io, argc > 1 ? argv[1] : "backend-1");
    return run_standin(
        io, 0,
        [&backend](standin_request request, standin_connection& connection)
        { return backend.handle(std::move(request), connection); });
}
