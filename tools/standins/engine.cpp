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

/// Stand-in for a model engine: continuous batching, prefix cache, drain, KV export and import.

namespace
{

using namespace auburnweir;
using namespace auburnweir::standins;

/// How the engine behaves; `POST /control` changes it.
struct behaviour
{
    std::int64_t token_us = 5000;
    std::int64_t slots = 8;
    double prefill_rate = 8000;
    std::int64_t cut_after = -1;   ///< tokens after which each stream is cut
    std::int64_t stall_after = -1; ///< tokens after which each stream falls silent
    std::int64_t refuse_status = 0;
    bool leaving = false;
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

/// A chat request as the engine takes it.
struct engine_request
{
    std::string prompt;
    std::string answered;
    std::uint64_t answered_tokens = 0;
    std::uint64_t max_tokens = 0;
    std::string kv_handle;
};

constexpr std::size_t cached_blocks = 4096;
constexpr std::size_t kept_events = 256;
constexpr state::duration stall_length = std::chrono::hours{1};
constexpr state::duration queue_pause = std::chrono::milliseconds{2};

class engine
{
public:
    explicit engine(net::io_context& io)
        : io_(io)
    {
    }

    behaviour& settings() { return settings_; }

    net::awaitable<void> handle(standin_request request, standin_connection& connection)
    {
        if (request.target == "/v1/chat/completions")
            co_await chat(std::move(request), connection);
        else if (request.target == "/v1/kv/export")
            co_await export_cache(std::move(request), connection);
        else if (request.target.rfind("/status", 0) == 0)
            co_await status(std::move(request), connection);
        else if (request.target == "/control")
            co_await control(std::move(request), connection);
        else if (request.target == "/statistics")
            co_await send_json(connection, 200, statistics_body());
        else
            co_await send_status(connection, 404);
    }

private:
    static std::optional<engine_request> decode(std::string const& body)
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
                r.answered = content;
            else
                r.prompt += protocol::text_at(messages[i], "role") + "\n" + content + "\n";
        }
        r.answered_tokens =
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

    transport::caller_response head(int status, char const* content_type) const
    {
        transport::caller_response reply;
        reply.status = status;
        reply.content_type = content_type;
        reply.headers.emplace_back("X-Engine-Load", protocol::encode_load_header(load()));
        reply.headers.emplace_back("X-Engine-State", settings_.leaving ? "leaving" : "serving");
        return reply;
    }

    /// Looks the prompt up in the prefix cache and takes it in. @return tokens to compute
    std::int64_t prefill(engine_request const& request)
    {
        auto const tokens = state::estimated_tokens(request.prompt + request.answered).count();
        if (!request.kv_handle.empty() && exported_handles_known(request.kv_handle))
        {
            ++statistics_.imported;
            return 0;
        }
        std::int64_t hit = 0;
        constexpr std::int64_t block_tokens = 64;
        for (auto const block : coordination::hash_prefix(request.prompt))
        {
            if (cache_.contains(block))
                hit += block_tokens;
            else
                store(block);
        }
        return std::max<std::int64_t>(tokens - hit, 1);
    }

    static bool exported_handles_known(std::string const& handle)
    {
        return handle.rfind("kv-", 0) == 0;
    }

    void store(std::uint64_t block)
    {
        cache_.insert(block);
        cache_order_.push_back(block);
        add_event(true, block);
        if (cache_order_.size() <= cached_blocks)
            return;
        add_event(false, cache_order_.front());
        cache_.erase(cache_order_.front());
        cache_order_.pop_front();
    }

    void add_event(bool stored, std::uint64_t block)
    {
        events_.push_back({++last_event_, stored, block});
        if (events_.size() > kept_events)
            events_.pop_front();
    }

    net::awaitable<void> chat(standin_request incoming, standin_connection& connection)
    {
        auto const request = decode(incoming.body);
        if (!request)
        {
            co_await send_status(connection, 400);
            co_return;
        }
        if (settings_.leaving || settings_.refuse_status != 0)
        {
            auto const status = settings_.leaving ? 503 : static_cast<int>(settings_.refuse_status);
            auto reply = head(status, "text/plain");
            co_await connection.writer.send(std::move(reply));
            co_return;
        }
        if (request->answered != answer_text(request->prompt, request->answered_tokens))
        {
            ++statistics_.refused_continuations;
            co_await send_status(connection, 400);
            co_return;
        }
        ++statistics_.started;
        ++queued_;
        while (running_ >= settings_.slots)
            co_await transport::sleep_for(io_, queue_pause);
        --queued_;
        ++running_;
        co_await generate(*request, incoming.header("X-Attempt-Id"), connection);
        --running_;
    }

    net::awaitable<void> generate(
        engine_request request, std::string attempt, standin_connection& connection)
    {
        auto const computed = prefill(request);
        statistics_.prefilled += computed;
        queued_prefill_ += computed;
        auto const seconds = static_cast<double>(computed) / settings_.prefill_rate;
        co_await transport::sleep_for(
            io_, state::duration{static_cast<std::int64_t>(seconds * 1e6)});
        queued_prefill_ -= computed;

        auto const state = std::make_shared<stream_state>();
        streams_[attempt] = state;
        auto stream_head = head(200, "text/event-stream");
        bool open = co_await connection.writer.begin(std::move(stream_head));
        for (std::uint64_t i = 1; open && i <= request.max_tokens; ++i)
        {
            auto const sent = static_cast<std::int64_t>(i) - 1;
            if (settings_.cut_after >= 0 && sent >= settings_.cut_after)
            {
                connection.cut();
                open = false;
                break;
            }
            if (settings_.stall_after >= 0 && sent >= settings_.stall_after)
                co_await transport::sleep_for(io_, stall_length);
            if (state->exported)
                break;
            co_await pace();
            open = co_await connection.writer.send_chunk(
                token_event(answer_token(request.prompt, request.answered_tokens + i)));
            statistics_.tokens += open ? 1 : 0;
            open = open && !connection.writer.caller_has_disconnected();
        }
        streams_.erase(attempt);
        if (!open)
        {
            ++statistics_.cancelled;
            connection.writer.keep_alive(false);
            connection.cut();
            co_return;
        }
        if (!state->exported)
        {
            ++statistics_.finished;
            co_await connection.writer.send_chunk(finish_events());
        }
        co_await connection.writer.end();
    }

    net::awaitable<void> pace()
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

    net::awaitable<void> export_cache(standin_request request, standin_connection& connection)
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
        co_await send_json(connection, 200, handle_body());
    }

    net::awaitable<void> status(standin_request request, standin_connection& connection)
    {
        auto const after = protocol::query_value(request.target, "after");
        auto const from = after.empty() ? 0 : std::stoull(after);
        protocol::engine_status s;
        s.load = load();
        s.leaving = settings_.leaving;
        for (auto const& e : events_)
            if (e.sequence > from)
                s.events.push_back(e);
        transport::caller_response reply;
        reply.body = protocol::encode_engine_status(s);
        co_await connection.writer.send(std::move(reply));
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
        s.stall_after = protocol::integer_at(*body, "stall_after", s.stall_after);
        s.refuse_status = protocol::integer_at(*body, "refuse_status", s.refuse_status);
        s.leaving = protocol::flag_at(*body, "leaving", s.leaving);
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

    static json handle_body() { return {{"handle", "kv-" + protocol::random_hex(8)}}; }

    net::io_context& io_;
    behaviour settings_;
    statistics statistics_;
    std::int64_t running_ = 0;
    std::int64_t queued_ = 0;
    std::int64_t queued_prefill_ = 0;
    std::map<std::string, std::shared_ptr<stream_state>> streams_;
    std::set<std::uint64_t> cache_;
    std::list<std::uint64_t> cache_order_;
    std::list<protocol::cache_event> events_;
    std::uint64_t last_event_ = 0;
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
        {"port", 0, POPT_ARG_INT, &port, 0, "port; 0 takes a free one", "PORT"},
        {"token-us", 0, POPT_ARG_LONGLONG, &token_us, 0, "time between tokens", "MICROSECONDS"},
        {"slots", 0, POPT_ARG_LONGLONG, &slots, 0, "streams at once", "NUMBER"},
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
