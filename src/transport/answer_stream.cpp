#include "transport/answer_stream.hpp"

#include "protocol/chat_codec.hpp"
#include "transport/clock.hpp"
#include "transport/journal_watch.hpp"
#include "transport/log.hpp"

namespace auburnweir::transport
{

namespace
{

constexpr std::size_t max_tokens_per_chunk = 64;
constexpr state::duration caller_check_interval = std::chrono::milliseconds{500};
constexpr state::duration failed_answer_retry_delay = std::chrono::seconds{1};

bool has_tokens_or_end(state::journal_chunk const& chunk)
{
    return !chunk.tokens.empty() || chunk.finish;
}

/// Waits for tokens after `after` or for the end. @return null when the caller has left
net::awaitable<std::optional<state::journal_chunk>> next_chunk(
    caller_call& call, state::journal_ptr journal, journal_watch& watch,
    state::sequence_number after)
{
    for (;;)
    {
        journal->record_read(now());
        auto chunk = journal->read_after(after, max_tokens_per_chunk);
        if (has_tokens_or_end(chunk))
            co_return chunk;
        bool const changed = co_await watch.wait(caller_check_interval);
        if (!changed && call.writer.caller_has_disconnected())
            co_return std::nullopt;
    }
}

state::refusal_reason failure_of(state::journal const& journal)
{
    return journal.failure().value_or(state::refusal_reason::backend_failed);
}

bool failed_without_tokens(state::journal_chunk const& chunk)
{
    return chunk.finish == state::finish_reason::failed && chunk.tokens.empty() &&
           chunk.first.count() == 1;
}

net::awaitable<bool> refuse_failed_answer(caller_call& call, state::journal_ptr journal)
{
    auto const reason = failure_of(*journal);
    // The attempts may have been those of another instance, so none is known not to have run.
    protocol::problem p{
        reason, state::run_outcome::outcome_unknown, "no backend server answered", {}, {}};
    p.request = journal->request().header.id;
    p.retry_after = failed_answer_retry_delay;
    co_return co_await refuse(call, std::move(p));
}

} // namespace

net::awaitable<bool> stream_answer(
    caller_call& call, state::journal_ptr journal, state::resume_point from)
{
    journal_watch watch(call.home.io(), journal, state::journal_change::visible);
    auto& counters = call.context.tables.counters;
    auto after = from.after;
    bool has_started = false;
    for (;;)
    {
        auto const chunk = co_await next_chunk(call, journal, watch, after);
        if (!chunk)
        {
            counters.increment(state::event_counter::callers_left);
            co_return false;
        }
        if (!has_started && failed_without_tokens(*chunk))
            co_return co_await refuse_failed_answer(call, journal);
        if (!has_started)
        {
            caller_response header;
            header.content_type = "text/event-stream";
            header.headers = {
                {"X-Request-Id", journal->request().header.id.str()},
                {"Cache-Control", "no-store"}};
            has_started = co_await call.writer.begin(std::move(header));
        }
        auto events =
            protocol::encode_chat_events(journal->request().header.id, *chunk, journal->lineage());
        bool const sent = has_started && co_await call.writer.send_part(std::move(events));
        if (!sent)
        {
            counters.increment(state::event_counter::callers_left);
            co_return false;
        }
        after = after + state::sequence_number{chunk->tokens.size()};
        counters.increment(state::event_counter::tokens_streamed, chunk->tokens.size());
        journal->record_delivered(after);
        if (!chunk->finish)
            continue;
        if (*chunk->finish == state::finish_reason::failed)
        {
            // A response without its last chunk is incomplete to each HTTP client.
            call.writer.keep_alive(false);
            log(log_event::answer_broken_off,
                {{"request", journal->request().header.id.str()},
                 {"reason", std::string{name_of(failure_of(*journal))}},
                 {"last_event", std::to_string(after.count())}});
            co_return false;
        }
        counters.increment(state::event_counter::requests_completed);
        co_return co_await call.writer.end();
    }
}

net::awaitable<bool> send_whole_answer(caller_call& call, state::journal_ptr journal)
{
    journal_watch watch(call.home.io(), journal, state::journal_change::visible);
    auto after = state::sequence_number{0};
    for (;;)
    {
        auto const chunk = co_await next_chunk(call, journal, watch, after);
        if (!chunk)
        {
            call.context.tables.counters.increment(state::event_counter::callers_left);
            co_return false;
        }
        after = after + state::sequence_number{chunk->tokens.size()};
        journal->record_delivered(after);
        if (!chunk->finish)
            continue;
        if (*chunk->finish == state::finish_reason::failed)
            co_return co_await refuse_failed_answer(call, journal);
        call.context.tables.counters.increment(state::event_counter::requests_completed);
        caller_response response;
        response.headers = {{"X-Request-Id", journal->request().header.id.str()}};
        response.body = protocol::encode_chat_answer(
            journal->request(), journal->text(),
            state::token_count{static_cast<std::int64_t>(after.count())}, *chunk->finish);
        co_return co_await call.writer.send(std::move(response));
    }
}

} // namespace auburnweir::transport
