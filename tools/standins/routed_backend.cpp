#include "http_standin.hpp"
#include "state/body_framing.hpp"

#include <fstream>
#include <map>
#include <optional>
#include <set>

/// Stand-in for a backend server behind the gateway.
///
/// Echoes the request body as JSON; for `/stream/` paths it responds with an event stream.
/// `POST /control` sets faults; `GET /runs` returns the number of runs per attempt id and the
/// last request. Arguments: its id, its start time and its port.

namespace
{

using namespace auburnweir;
using namespace auburnweir::standins;

constexpr int crash_exit_code = 3;

/// Replaced by a request's attempt id in what is sent as it is, without framing.
constexpr char const* id_placeholder = "{id}";

class routed_backend
{
public:
    /// @param born  start time in reports, in Unix milliseconds; empty: reports state none
    routed_backend(net::io_context& io, std::string id, std::string born)
        : io_(io)
        , id_(std::move(id))
        , born_(std::move(born))
    {
    }

    net::awaitable<void> handle(standin_request request, standin_connection& connection)
    {
        if (request.target == "/control")
            co_await control(request, connection);
        else if (request.target == "/runs")
            co_await send_json(connection, 200, runs_body());
        else if (request.target == "/healthz" || request.target == "/api/report")
            co_await report(request, connection);
        else
            co_await serve(std::move(request), connection);
    }

private:
    transport::caller_response make_response(standin_request const& request, int status) const
    {
        transport::caller_response response;
        response.status = status;
        response.headers = {
            {"Auburnweir-Attempt-Id", request.header("Auburnweir-Attempt-Id")},
            {"Auburnweir-Instance-Stamp", id_ + "." + request.header("Auburnweir-Attempt-Id")},
            {"Auburnweir-Instance-Load", "1,0,8"}};
        for (auto const& [name, value] : statements_.items())
            response.headers.emplace_back(name, value.get<std::string>());
        return response;
    }

    std::string echo_body(standin_request const& request) const
    {
        return protocol::dump({{"server", id_}, {"echo", request.body}});
    }

    json runs_body() const
    {
        return {{"runs", runs_}, {"last", last_request_}, {"questions", questions_}};
    }

    static std::uint16_t caller_port(standin_connection const& connection)
    {
        boost::system::error_code ignored;
        return connection.stream.socket().remote_endpoint(ignored).port();
    }

    transport::caller_response not_executed_response(int status) const
    {
        transport::caller_response response;
        response.status = status;
        response.headers = {{"Auburnweir-Not-Executed", "1"}};
        for (auto const& [name, value] : statements_.items())
            response.headers.emplace_back(name, value.get<std::string>());
        return response;
    }

    /// Answers questions on its health, which are no runs.
    net::awaitable<void> report(standin_request const& request, standin_connection& connection)
    {
        auto const expected_id = request.header("Auburnweir-Expected-Instance");
        bool const is_other = !expected_id.empty() && expected_id != id_;
        json body = json::object();
        if (!born_.empty() && request.target == "/api/report")
            body["born"] = std::stoll(born_);
        response_headers headers{{"Auburnweir-Instance-Id", id_}};
        auto const question = request.header("Auburnweir-Attempt-Id");
        if (!question.empty())
            headers.emplace_back("Auburnweir-Attempt-Id", question);
        ++questions_;
        co_await send_json(connection, is_other ? 421 : 200, body, std::move(headers));
    }

    net::awaitable<void> serve(standin_request request, standin_connection& connection)
    {
        auto const attempt = request.header("Auburnweir-Attempt-Id");
        auto const expected_id = request.header("Auburnweir-Expected-Instance");
        co_await send_late_response(connection);
        connection.last_exchange = attempt;
        if (refused_ports_.erase(caller_port(connection)) > 0)
            co_await connection.writer.send(not_executed_response(503));
        if (repeat_refusals_ && not_run_)
            refused_ports_.insert(caller_port(connection));
        bool const is_misdirected = !expected_id.empty() && expected_id != id_ && !accepts_any_id_;
        if (not_run_ || is_misdirected)
        {
            auto response = not_executed_response(not_run_ ? 503 : 421);
            if (names_refusals_)
                response.headers.emplace_back("Auburnweir-Attempt-Id", attempt);
            if (endless_)
                co_await send_body_without_end(std::move(response), connection);
            else
                co_await connection.writer.send(std::move(response));
            co_return;
        }
        runs_[attempt] = runs_.value(attempt, 0) + 1;
        if (run_log_.is_open())
            run_log_ << attempt << std::endl;
        record_request(request);
        auto const prompt = request.header("Auburnweir-Prompt-Prefix");
        if (!crash_segment_.empty() && prompt.find(crash_segment_) != std::string::npos)
            std::_Exit(crash_exit_code);
        if (delay_ms_ > 0)
            co_await transport::sleep_for(io_, std::chrono::milliseconds{delay_ms_});
        if (cut_)
        {
            connection.reset();
            co_return;
        }
        if (resume_status_ != 0 && !request.header("Last-Event-Id").empty())
        {
            auto response = make_response(request, resume_status_);
            response.body = "no event";
            co_await connection.writer.send(std::move(response));
            co_return;
        }
        if (resumes_without_events_ && !request.header("Last-Event-Id").empty())
        {
            auto response = make_response(request, 200);
            response.content_type = "text/event-stream";
            co_await connection.writer.begin(std::move(response));
            co_await connection.writer.end();
            co_return;
        }
        if (endless_ && !endless_->start.empty())
        {
            auto bytes = *endless_;
            auto const id = bytes.start.find(id_placeholder);
            if (id != std::string::npos)
                bytes.start.replace(id, std::string_view{id_placeholder}.size(), attempt);
            co_await send_without_end(io_, connection, std::move(bytes));
            co_return;
        }
        if (endless_)
        {
            auto response = make_response(request, status_);
            co_await send_body_without_end(std::move(response), connection);
            co_return;
        }
        if (request.target.find("/stream/") != std::string::npos && status_ == 200)
        {
            if (unframed_)
                co_await stream_until_close(request, connection);
            else
                co_await stream_events(request, connection);
            co_return;
        }
        auto response = make_response(request, status_);
        response.body = echo_body(request);
        if (framing_)
            co_await send_in_halves(std::move(response), connection);
        else
            co_await connection.writer.send(std::move(response));
    }

    /// How a body of `size` bytes is framed.
    transport::response_framing framing_of(std::size_t size) const
    {
        if (framing_ == state::body_framing::connection)
            return transport::unframed_body{};
        if (framing_ == state::body_framing::length)
            return transport::sized_body{size};
        return transport::chunked_body{};
    }

    /// Sends a body in two parts, `event_ms` apart.
    net::awaitable<void> send_in_halves(
        transport::caller_response response, standin_connection& connection)
    {
        auto const body = std::exchange(response.body, {});
        auto const framing = framing_of(body.size());
        co_await connection.writer.begin(std::move(response), framing);
        auto first = body.substr(0, body.size() / 2);
        co_await connection.writer.send_part(std::move(first));
        co_await transport::sleep_for(io_, std::chrono::milliseconds{event_ms_});
        auto rest = body.substr(body.size() / 2);
        co_await connection.writer.send_part(std::move(rest));
        co_await connection.writer.end();
        close_if_unframed(connection);
    }

    void close_if_unframed(standin_connection& connection) const
    {
        boost::system::error_code ignored;
        if (framing_ == state::body_framing::connection)
            connection.stream.socket().close(ignored);
    }

    static std::string event_text(std::int64_t event)
    {
        auto const number = std::to_string(event);
        return "id: " + number + "\ndata: token-" + number + "\n\n";
    }

    /// Sends the bytes of `late_response` ahead of the response to a request that is not the first
    /// on its connection.
    net::awaitable<void> send_late_response(standin_connection& connection)
    {
        if (late_response_.empty() || connection.last_exchange.empty())
            co_return;
        auto bytes = late_response_;
        auto const id = bytes.find(id_placeholder);
        if (id != std::string::npos)
            bytes.replace(id, std::string_view{id_placeholder}.size(), connection.last_exchange);
        boost::system::error_code ignored;
        co_await net::async_write(
            connection.stream.socket(), net::buffer(bytes),
            net::redirect_error(net::use_awaitable, ignored));
    }

    net::awaitable<void> send_body_without_end(
        transport::caller_response response, standin_connection& connection)
    {
        auto const bytes = *endless_;
        bool open = co_await connection.writer.begin(std::move(response));
        while (open)
        {
            open = co_await connection.writer.send_part(bytes.part);
            co_await transport::sleep_for(io_, bytes.pause);
        }
        connection.reset();
    }

    /// Sends a stream with neither a length nor chunks; its end is that of the connection.
    net::awaitable<void> stream_until_close(
        standin_request const& request, standin_connection& connection)
    {
        std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                           "Connection: close\r\n";
        for (auto const& [name, value] : make_response(request, 200).headers)
            text.append(name).append(": ").append(value).append("\r\n");
        text += "\r\n";
        auto const after = request.header("Last-Event-Id");
        for (auto event = after.empty() ? 1 : std::stoll(after) + 1; event <= events_; ++event)
        {
            auto const number = std::to_string(event);
            text += "id: " + number + "\nda";
            if (cut_after_ > 0 && event > cut_after_)
                break;
            text += "ta: token-" + number + "\n\n";
        }
        boost::system::error_code ignored;
        co_await net::async_write(
            connection.stream.socket(), net::buffer(text),
            net::redirect_error(net::use_awaitable, ignored));
        connection.stream.socket().close(ignored);
    }

    net::awaitable<void> stream_events(
        standin_request const& request, standin_connection& connection)
    {
        auto response = make_response(request, 200);
        response.content_type = "text/event-stream";
        auto const after = request.header("Last-Event-Id");
        std::int64_t const first_event = after.empty() ? 1 : std::stoll(after) + 1;
        std::size_t size = 0;
        for (auto event = first_event; event <= events_; ++event)
            size += event_text(event).size();
        auto const framing = framing_of(size);
        co_await connection.writer.begin(std::move(response), framing);
        for (auto event = first_event; event <= events_; ++event)
        {
            if (cut_after_ > 0 && event > cut_after_)
            {
                // Closes the connection within an event.
                co_await connection.writer.send_part("id: " + std::to_string(event) + "\nda");
                connection.reset();
                co_return;
            }
            auto text = event_text(event);
            co_await connection.writer.send_part(std::move(text));
            if (event == end_after_)
                break;
            co_await transport::sleep_for(io_, std::chrono::milliseconds{event_ms_});
        }
        co_await connection.writer.end();
        close_if_unframed(connection);
    }

    void record_request(standin_request const& request)
    {
        last_request_ = json::object();
        last_request_["target"] = request.target;
        last_request_["body"] = request.body;
        for (auto const& field : request.headers)
            last_request_["headers"][std::string{field.name_string()}] = std::string{field.value()};
    }

    /// Null for an unknown word, which restores the default.
    static std::optional<state::body_framing> decode_framing(std::string const& word)
    {
        using state::body_framing;
        for (auto const framing :
             {body_framing::length, body_framing::chunks, body_framing::connection})
            if (word == name_of(framing))
                return framing;
        return std::nullopt;
    }

    net::awaitable<void> control(standin_request const& request, standin_connection& connection)
    {
        auto const body = protocol::parse_json(request.body);
        if (!body)
        {
            co_await send_status(connection, 400);
            co_return;
        }
        crash_segment_ = protocol::text_at(*body, "crash_segment", crash_segment_);
        status_ = static_cast<int>(protocol::integer_at(*body, "status", status_));
        if (auto const statements = body->find("statements"); statements != body->end())
            statements_ = *statements;
        resume_status_ =
            static_cast<int>(protocol::integer_at(*body, "resume_status", resume_status_));
        delay_ms_ = protocol::integer_at(*body, "delay_ms", delay_ms_);
        event_ms_ = protocol::integer_at(*body, "event_ms", event_ms_);
        events_ = protocol::integer_at(*body, "events", events_);
        cut_after_ = protocol::integer_at(*body, "cut_after", cut_after_);
        not_run_ = protocol::flag_at(*body, "not_run", not_run_);
        cut_ = protocol::flag_at(*body, "cut", cut_);
        repeat_refusals_ = protocol::flag_at(*body, "repeat_refusals", repeat_refusals_);
        unframed_ = protocol::flag_at(*body, "unframed", unframed_);
        end_after_ = protocol::integer_at(*body, "end_after", end_after_);
        if (body->contains("framing"))
            framing_ = decode_framing(protocol::text_at(*body, "framing"));
        accepts_any_id_ = protocol::flag_at(*body, "accepts_any_id", accepts_any_id_);
        resumes_without_events_ =
            protocol::flag_at(*body, "resumes_without_events", resumes_without_events_);
        names_refusals_ = protocol::flag_at(*body, "names_refusals", names_refusals_);
        late_response_ = protocol::text_at(*body, "late_response", late_response_);
        if (body->contains("endless"))
            endless_ = decode_endless(*body);
        if (body->contains("run_log"))
            open_run_log(protocol::text_at(*body, "run_log"));
        co_await send_status(connection, 200);
    }

    /// Starts to append the attempt id of each run to a file, which outlives a kill of this
    /// process. The runs so far go first.
    void open_run_log(std::string const& path)
    {
        run_log_.open(path, std::ios::app);
        for (auto const& [attempt, count] : runs_.items())
            for (int i = 0; i < count.get<int>(); ++i)
                run_log_ << attempt << '\n';
        run_log_.flush();
    }

    net::io_context& io_;
    std::string id_;
    std::string born_;
    std::int64_t questions_ = 0; ///< on its health
    json runs_ = json::object();
    std::ofstream run_log_;
    json last_request_;
    json statements_ = json::object(); ///< headers of each response, by name
    std::string crash_segment_;        ///< a request with it ends the process; empty: none does
    int status_ = 200;
    int resume_status_ = 0; ///< of requests that resume a stream; 0: `status_`
    std::int64_t delay_ms_ = 0;
    std::int64_t event_ms_ = 5;
    std::int64_t events_ = 10;
    std::int64_t cut_after_ = 0;
    std::int64_t end_after_ = 0; ///< event after which streams end in good form; 0: the last one
    /// Of streams, and of other bodies, which come in two parts then; null: the default.
    std::optional<state::body_framing> framing_;
    bool not_run_ = false;
    bool cut_ = false;
    bool unframed_ = false;
    bool repeat_refusals_ = false;
    bool names_refusals_ = false;
    bool accepts_any_id_ = false;         ///< runs requests that were meant for another server
    bool resumes_without_events_ = false; ///< answers resumed streams with a last chunk alone
    std::string late_response_; ///< a copy of an earlier response, with the id of its request
    std::set<std::uint16_t> refused_ports_; ///< of callers that get the refusal once more
    std::optional<endless_bytes> endless_;
};

} // namespace

int main(int argc, char** argv)
{
    net::io_context io(1);
    routed_backend backend(io, argc > 1 ? argv[1] : "backend-1", argc > 2 ? argv[2] : "");
    auto const port = static_cast<std::uint16_t>(argc > 3 ? std::stoi(argv[3]) : 0);
    return run_standin(
        io, port,
        [&backend](standin_request request, standin_connection& connection)
        { return backend.handle(std::move(request), connection); });
}
