#include "coordination/prefix_index.hpp"
#include "engine_model.hpp"
#include "http_standin.hpp"
#include "protocol/chat_codec.hpp"
#include "protocol/digest.hpp"
#include "protocol/engine_codec.hpp"
#include "protocol/platform_codec.hpp"
#include "protocol/sse.hpp"

#include <iostream>
#include <list>
#include <map>
#include <popt.h>
#include <set>

/// Stand-in for a model engine with continuous batching, a prefix cache, draining, and KV export
/// and import.

namespace
{

using namespace auburnweir;
using namespace auburnweir::standins;

/// Performance and faults of the engine; `POST /control` changes them.
struct engine_settings
{
    std::int64_t token_us = 5000;
    std::int64_t slots = 8;
    double prefill_rate = 8000;
    std::int64_t cut_after = -1; ///< tokens after which each stream is reset; negative: never
    std::int64_t tear_after =
        -1; ///< tokens after which each stream ends inside an event, in good form; negative: never
    std::int64_t stall_after = -1; ///< tokens after which each stream stalls; negative: never
    std::int64_t refuse_status = 0;
    bool leaving = false;
    bool reports_status = true;  ///< false: `/status` is not found
    bool repeat_answers = false; ///< sends each answer once more, ahead of the connection's next
};

struct statistics
{
    std::int64_t started = 0;
    std::int64_t finished = 0;
    std::int64_t cancelled = 0;
    std::int64_t tokens = 0;
    std::int64_t prefilled = 0;
    std::int64_t imported = 0;
    std::int64_t exported = 0;
    std::int64_t refused_continuations = 0;
};

struct stream_state
{
    bool exported = false;
};

/// A decoded chat request.
struct engine_request
{
    std::string prompt;
    std::string partial_answer; ///< start of the answer, which the engine continues
    std::uint64_t partial_answer_tokens = 0;
    std::uint64_t max_tokens = 0;
    std::string kv_handle;
};

constexpr std::size_t max_cached_blocks = 4096;
constexpr std::size_t max_cache_events = 256;
constexpr state::duration stall_duration = std::chrono::hours{1};
constexpr state::duration slot_poll_interval = std::chrono::milliseconds{2};

class engine
{
public:
    explicit engine(net::io_context& io)
        : io_(io)
    {
    }

    engine_settings& settings() { return settings_; }

    net::awaitable<void> handle(standin_request request, standin_connection& connection)
    {
        if (request.target == "/v1/chat/completions")
            co_await chat(std::move(request), connection);
        else if (request.target == "/v1/kv/export")
            co_await export_kv(std::move(request), connection);
        else if (request.target.rfind("/status", 0) == 0)
            co_await send_engine_status(std::move(request), connection);
        else if (request.target == "/control")
            co_await control(std::move(request), connection);
        else if (request.target == "/statistics")
            co_await send_json(connection, 200, statistics_body());
        else
            co_await send_status(connection, 404);
    }

private:
    static std::optional<engine_request> decode_request(std::string const& body)
    {
        auto const parsed = protocol::parse_json(body);
        if (!parsed)
            return std::nullopt;
        engine_request r;
        auto const& messages = protocol::array_at(*parsed, "messages");
        bool const continued = protocol::flag_at(*parsed, "continue_final_message");
        for (std::size_t i = 0; i < messages.size(); ++i)
        {
            auto const content = protocol::text_at(messages[i], "content");
            if (continued && i + 1 == messages.size())
                r.partial_answer = content;
            else
                r.prompt += protocol::text_at(messages[i], "role") + "\n" + content + "\n";
        }
        r.partial_answer_tokens =
            static_cast<std::uint64_t>(protocol::integer_at(*parsed, "continued_tokens"));
        r.max_tokens = static_cast<std::uint64_t>(protocol::integer_at(*parsed, "max_tokens"));
        r.kv_handle = protocol::text_at(*parsed, "kv_handle");
        return r;
    }

    state::load_report load() const
    {
        state::load_report report;
        report.running = running_;
        report.queued = queued_;
        report.queued_prefill = state::token_count{queued_prefill_};
        report.prefill_tokens_per_second = settings_.prefill_rate;
        report.decode_tokens_per_second =
            1e6 / static_cast<double>(std::max<std::int64_t>(settings_.token_us, 1));
        return report;
    }

    transport::caller_response make_response(int status, char const* content_type) const
    {
        transport::caller_response response;
        response.status = status;
        response.content_type = content_type;
        response.headers.emplace_back("X-Engine-Load", protocol::encode_load_header(load()));
        response.headers.emplace_back("X-Engine-State", settings_.leaving ? "leaving" : "serving");
        return response;
    }

    /// Looks the prompt up in the prefix cache and adds its missing blocks.
    /// @return the number of tokens to compute
    std::int64_t prefill(engine_request const& request)
    {
        auto const tokens =
            state::estimated_tokens(request.prompt + request.partial_answer).count();
        if (!request.kv_handle.empty() && is_exported_handle(request.kv_handle))
        {
            ++statistics_.imported;
            return 0;
        }
        std::int64_t cached_tokens = 0;
        constexpr std::int64_t block_tokens = 64;
        for (auto const block : coordination::hash_prefix(request.prompt))
        {
            if (cache_.contains(block))
                cached_tokens += block_tokens;
            else
                cache_block(block);
        }
        return std::max<std::int64_t>(tokens - cached_tokens, 1);
    }

    static bool is_exported_handle(std::string const& handle)
    {
        return handle.rfind("kv-", 0) == 0;
    }

    void cache_block(std::uint64_t block)
    {
        cache_.insert(block);
        cache_order_.push_back(block);
        record_cache_event(true, block);
        if (cache_order_.size() <= max_cached_blocks)
            return;
        record_cache_event(false, cache_order_.front());
        cache_.erase(cache_order_.front());
        cache_order_.pop_front();
    }

    void record_cache_event(bool stored, std::uint64_t block)
    {
        cache_events_.push_back({++last_cache_event_, stored, block});
        if (cache_events_.size() > max_cache_events)
            cache_events_.pop_front();
    }

    net::awaitable<void> chat(standin_request incoming, standin_connection& connection)
    {
        auto const request = decode_request(incoming.body);
        if (!request)
        {
            co_await send_status(connection, 400);
            co_return;
        }
        if (settings_.leaving || settings_.refuse_status != 0)
        {
            auto const status = settings_.leaving ? 503 : static_cast<int>(settings_.refuse_status);
            auto response = make_response(status, "text/plain");
            co_await connection.writer.send(std::move(response));
            co_return;
        }
        if (request->partial_answer != answer_text(request->prompt, request->partial_answer_tokens))
        {
            ++statistics_.refused_continuations;
            co_await send_status(connection, 400);
            co_return;
        }
        ++statistics_.started;
        ++queued_;
        while (running_ >= settings_.slots)
            co_await transport::sleep_for(io_, slot_poll_interval);
        --queued_;
        ++running_;
        if (settings_.repeat_answers && !connection.last_exchange.empty())
            co_await send_bytes(connection.last_exchange, connection);
        connection.last_exchange = whole_answer(*request);
        co_await generate(*request, incoming.header("X-Attempt-Id"), connection);
        --running_;
    }

    static std::string whole_answer(engine_request const& request)
    {
        std::string events;
        for (std::uint64_t i = 1; i <= request.max_tokens; ++i)
            events += token_event(answer_token(request.prompt, request.partial_answer_tokens + i));
        events += finish_events();
        return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: " +
               std::to_string(events.size()) + "\r\n\r\n" + events;
    }

    static net::awaitable<void> send_bytes(std::string bytes, standin_connection& connection)
    {
        boost::system::error_code ignored;
        co_await net::async_write(
            connection.stream.socket(), net::buffer(bytes),
            net::redirect_error(net::use_awaitable, ignored));
    }

    net::awaitable<void> generate(
        engine_request request, std::string attempt, standin_connection& connection)
    {
        auto const tokens_to_prefill = prefill(request);
        statistics_.prefilled += tokens_to_prefill;
        queued_prefill_ += tokens_to_prefill;
        auto const seconds = static_cast<double>(tokens_to_prefill) / settings_.prefill_rate;
        co_await transport::sleep_for(
            io_, state::duration{static_cast<std::int64_t>(seconds * 1e6)});
        queued_prefill_ -= tokens_to_prefill;

        auto const stream = std::make_shared<stream_state>();
        streams_[attempt] = stream;
        auto stream_response = make_response(200, "text/event-stream");
        bool is_open = co_await connection.writer.begin(std::move(stream_response));
        bool is_torn = false;
        for (std::uint64_t i = 1; is_open && i <= request.max_tokens; ++i)
        {
            auto const sent = static_cast<std::int64_t>(i) - 1;
            if (settings_.cut_after >= 0 && sent >= settings_.cut_after)
            {
                connection.reset();
                is_open = false;
                break;
            }
            if (settings_.tear_after >= 0 && sent >= settings_.tear_after)
            {
                auto const event = token_event(answer_token(request.prompt, sent + 1));
                co_await connection.writer.send_part(event.substr(0, event.size() / 2));
                is_torn = true;
                break;
            }
            if (settings_.stall_after >= 0 && sent >= settings_.stall_after)
                co_await transport::sleep_for(io_, stall_duration);
            if (stream->exported)
                break;
            co_await wait_for_next_token();
            is_open = co_await connection.writer.send_part(
                token_event(answer_token(request.prompt, request.partial_answer_tokens + i)));
            statistics_.tokens += is_open ? 1 : 0;
            is_open = is_open && !connection.writer.caller_has_disconnected();
        }
        streams_.erase(attempt);
        if (!is_open)
        {
            ++statistics_.cancelled;
            connection.writer.keep_alive(false);
            connection.reset();
            co_return;
        }
        if (!stream->exported && !is_torn)
        {
            ++statistics_.finished;
            co_await connection.writer.send_part(finish_events());
        }
        co_await connection.writer.end();
    }

    net::awaitable<void> wait_for_next_token()
    {
        if (settings_.token_us > 0)
            co_await transport::sleep_for(io_, state::duration{settings_.token_us});
    }

    static std::string token_event(std::string const& token)
    {
        std::string out;
        protocol::append_sse_event(
            out, {}, R"({"choices":[{"index":0,"delta":{"content":")" + token + R"("}}]})");
        return out;
    }

    static std::string finish_events()
    {
        std::string out;
        protocol::append_sse_event(
            out, {}, R"({"choices":[{"index":0,"delta":{},"finish_reason":"length"}]})");
        protocol::append_sse_event(out, {}, "[DONE]");
        return out;
    }

    net::awaitable<void> export_kv(standin_request request, standin_connection& connection)
    {
        auto const body = protocol::parse_json(request.body);
        auto const attempt = body ? protocol::text_at(*body, "attempt") : std::string{};
        auto const it = streams_.find(attempt);
        if (it == streams_.end())
        {
            co_await send_status(connection, 404);
            co_return;
        }
        it->second->exported = true;
        ++statistics_.exported;
        co_await send_json(connection, 200, kv_handle_body());
    }

    net::awaitable<void> send_engine_status(standin_request request, standin_connection& connection)
    {
        if (!settings_.reports_status)
        {
            connection.last_exchange = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
            co_await send_status(connection, 404);
            co_return;
        }
        auto const after = protocol::query_value(request.target, "after");
        auto const after_sequence = after.empty() ? 0 : std::stoull(after);
        protocol::engine_status s;
        s.load = load();
        s.leaving = settings_.leaving;
        for (auto const& e : cache_events_)
            if (e.sequence > after_sequence)
                s.events.push_back(e);
        transport::caller_response response;
        response.body = protocol::encode_engine_status(s);
        co_await connection.writer.send(std::move(response));
    }

    net::awaitable<void> control(standin_request request, standin_connection& connection)
    {
        auto const body = protocol::parse_json(request.body);
        if (!body)
        {
            co_await send_status(connection, 400);
            co_return;
        }
        auto& s = settings_;
        s.token_us = protocol::integer_at(*body, "token_us", s.token_us);
        s.slots = protocol::integer_at(*body, "slots", s.slots);
        s.prefill_rate = protocol::number_at(*body, "prefill_rate", s.prefill_rate);
        s.cut_after = protocol::integer_at(*body, "cut_after", s.cut_after);
        s.tear_after = protocol::integer_at(*body, "tear_after", s.tear_after);
        s.stall_after = protocol::integer_at(*body, "stall_after", s.stall_after);
        s.refuse_status = protocol::integer_at(*body, "refuse_status", s.refuse_status);
        s.leaving = protocol::flag_at(*body, "leaving", s.leaving);
        s.repeat_answers = protocol::flag_at(*body, "repeat_answers", s.repeat_answers);
        s.reports_status = protocol::flag_at(*body, "reports_status", s.reports_status);
        co_await send_status(connection, 200);
    }

    json statistics_body() const
    {
        auto const& s = statistics_;
        return {
            {"started", s.started},
            {"finished", s.finished},
            {"cancelled", s.cancelled},
            {"tokens", s.tokens},
            {"prefilled", s.prefilled},
            {"imported", s.imported},
            {"exported", s.exported},
            {"running", running_},
            {"refused_continuations", s.refused_continuations}};
    }

    static json kv_handle_body() { return {{"handle", "kv-" + protocol::random_hex(8)}}; }

    net::io_context& io_;
    engine_settings settings_;
    statistics statistics_;
    std::int64_t running_ = 0;
    std::int64_t queued_ = 0;
    std::int64_t queued_prefill_ = 0;
    std::map<std::string, std::shared_ptr<stream_state>> streams_;
    std::set<std::uint64_t> cache_;
    std::list<std::uint64_t> cache_order_;
    std::list<protocol::cache_event> cache_events_;
    std::uint64_t last_cache_event_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    net::io_context io(1);
    engine e(io);
    int port = 0;
    long long token_us = e.settings().token_us;
    long long slots = e.settings().slots;
    poptOption const options[] = {
        {"port", 0, POPT_ARG_INT, &port, 0, "port; 0 selects a free port", "PORT"},
        {"token-us", 0, POPT_ARG_LONGLONG, &token_us, 0, "time between tokens", "MICROSECONDS"},
        {"slots", 0, POPT_ARG_LONGLONG, &slots, 0, "maximum number of concurrent streams",
         "NUMBER"},
        POPT_AUTOHELP POPT_TABLEEND};
    auto* const context = poptGetContext(nullptr, argc, const_cast<char const**>(argv), options, 0);
    while (poptGetNextOpt(context) >= 0)
    {
    }
    poptFreeContext(context);
    e.settings().token_us = token_us;
    e.settings().slots = slots;
    return run_standin(
        io, static_cast<std::uint16_t>(port),
        [&e](standin_request request, standin_connection& connection)
        { return e.handle(std::move(request), connection); });
}
