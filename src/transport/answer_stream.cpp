#include "transport/answer_stream.hpp"

#include "protocol/chat_codec.hpp"
#include "transport/clock.hpp"
#include "transport/journal_watch.hpp"

namespace auburnweir::transport
{

namespace
{

constexpr std::size_t tokens_per_part = 64;
constexpr state::duration presence_period = std::chrono::milliseconds{500};

bool has_news(state::journal_chunk const& part)
{
    return !part.tokens.empty() || part.finish;
}

/// Waits until the journal has more than the reader; null when the caller has left.
net::awaitable<std::optional<state::journal_chunk>> next_part(
    caller_call& call, state::journal_ptr journal, journal_watch& watch,
    state::sequence_number after)
{
    for (;;)
    {
        journal->record_read(now());
        auto part = journal->read_after(after, tokens_per_part);
        if (has_news(part))
            co_return part;
        bool const changed = co_await watch.wait(presence_period);
        if (!changed && call.writer.caller_has_disconnected())
            co_return std::nullopt;
    }
}

bool failed_without_tokens(state::journal_chunk const& part)
{
    return part.finish == state::finish_reason::failed && part.tokens.empty() &&
           part.first.count() == 1;
}

net::awaitable<bool> refuse_failed(caller_call& call, state::journal_ptr journal)
{
    auto const reason = journal->failure().value_or(state::refusal_reason::backend_failed);
    protocol::problem p{reason, state::run_outcome::not_run, "no backend server answered", {}, {}};
    p.request = journal->request().header.id;
    p.retry_after = std::chrono::seconds{1};
    co_return co_await refuse(call, std::move(p));
}

void count_end(caller_call& call, state::finish_reason finish)
{
    if (finish != state::finish_reason::failed)
        call.context.tables.counters.increment(state::event_counter::requests_completed);
}

} // namespace

net::awaitable<bool> stream_answer(
    caller_call& call, state::journal_ptr journal, state::resume_point from)
{
    journal_watch watch(call.home.io(), journal, state::journal_change::visible);
    auto& counters = call.context.tables.counters;
    auto after = from.after;
    bool begun = false;
    for (;;)
    {
        auto const part = co_await next_part(call, journal, watch, after);
        if (!part)
        {
            counters.increment(state::event_counter::callers_left);
            co_return false;
        }
        if (!begun && failed_without_tokens(*part))
            co_return co_await refuse_failed(call, journal);
        if (!begun)
        {
            caller_response head;
            head.content_type = "text/event-stream";
            head.headers = {
                {"X-Request-Id", journal->request().header.id.str()},
                {"Cache-Control", "no-store"}};
            begun = co_await call.writer.begin(std::move(head));
        }
        auto events =
            protocol::encode_chat_events(journal->request().header.id, *part, journal->lineage());
        bool const sent = begun && co_await call.writer.send_chunk(std::move(events));
        if (!sent)
        {
            counters.increment(state::event_counter::callers_left);
            co_return false;
        }
        after = after + state::sequence_number{part->tokens.size()};
        counters.increment(state::event_counter::tokens_streamed, part->tokens.size());
        journal->record_delivered(after);
        if (!part->finish)
            continue;
        count_end(call, *part->finish);
        co_return co_await call.writer.end();
    }
}

net::awaitable<bool> send_whole_answer(caller_call& call, state::journal_ptr journal)
{
    journal_watch watch(call.home.io(), journal, state::journal_change::visible);
    auto after = state::sequence_number{0};
    for (;;)
    {
        auto const part = co_await next_part(call, journal, watch, after);
        if (!part)
        {
            call.context.tables.counters.increment(state::event_counter::callers_left);
            co_return false;
        }
        after = after + state::sequence_number{part->tokens.size()};
        journal->record_delivered(after);
        if (!part->finish)
            continue;
        if (*part->finish == state::finish_reason::failed)
            co_return co_await refuse_failed(call, journal);
        count_end(call, *part->finish);
        caller_response reply;
        reply.headers = {{"X-Request-Id", journal->request().header.id.str()}};
        reply.body = protocol::encode_chat_answer(
            journal->request(), journal->text(),
            state::token_count{static_cast<std::int64_t>(after.count())}, *part->finish);
        co_return co_await call.writer.send(std::move(reply));
    }
}

} // namespace auburnweir::transport
