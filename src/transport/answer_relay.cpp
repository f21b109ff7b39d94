#include "transport/answer_relay.hpp"

#include "transport/event_splitter.hpp"

namespace auburnweir::transport
{

namespace
{

/// Largest answer that is held in memory before it is passed on, in bytes.
constexpr std::size_t most_held_answer = 16 * 1024 * 1024;

/// A stream that is silent for longer goes on elsewhere, where it may.
constexpr state::duration longest_silence = std::chrono::milliseconds{1500};

} // namespace

answer_relay::answer_relay(gateway_context& context, reply_writer& writer, relayed_request request)
    : context_(context)
    , writer_(writer)
    , request_(std::move(request))
{
}

state::duration answer_relay::time_left() const
{
    return request_.deadline - now();
}

caller_reply answer_relay::head_of(http_stream const& answer) const
{
    caller_reply reply;
    reply.status = answer.status();
    reply.content_type.clear(); // among the server's headers
    reply.headers = context_.ports.dialect.encode_answer(answer.headers());
    return reply;
}

net::awaitable<relay_end> answer_relay::relay_whole(http_stream& answer)
{
    auto body = co_await answer.read_rest(most_held_answer, time_left());
    if (request_.cancel->cancelled())
        co_return relay_end::caller_gone;
    if (!body)
        co_return body.error() == http_fault::timed_out ? relay_end::timed_out : relay_end::broken;
    auto reply = head_of(answer);
    reply.body = std::move(body.value());
    context_.tables.first_part.record(now() - request_.arrived);
    bool const taken = co_await writer_.send(std::move(reply));
    co_return taken ? relay_end::whole : relay_end::caller_gone;
}

net::awaitable<relay_end> answer_relay::relay_stream(http_stream& answer)
{
    event_splitter events;
    for (;;)
    {
        auto const left = time_left();
        if (left <= state::duration::zero())
            co_return relay_end::timed_out;
        auto const limit = request_.may_leave ? std::min(left, longest_silence) : left;
        auto const part = co_await answer.read(limit);
        if (request_.cancel->cancelled())
            co_return relay_end::caller_gone;
        if (!part)
        {
            bool const late = time_left() <= state::duration::zero();
            bool const silent = part.error() == http_fault::timed_out && !late;
            if (silent && !request_.may_leave())
                continue;
            co_return late ? relay_end::timed_out : relay_end::broken;
        }
        bool const ended = part.value().empty();
        events.feed(part.value());
        auto ready = events.take_whole();
        if (ended)
            ready += events.take_rest();
        if (!events.last_id().empty())
            last_event_ = events.last_id();
        if (!begun_ && (!ready.empty() || ended))
        {
            begun_ = true;
            context_.tables.first_part.record(now() - request_.arrived);
            auto head = head_of(answer);
            if (!co_await writer_.begin(std::move(head)))
                co_return relay_end::caller_gone;
        }
        if (!ready.empty() && !co_await writer_.send_part(std::move(ready)))
            co_return relay_end::caller_gone;
        if (!ended)
            continue;
        bool const taken = co_await writer_.end();
        co_return taken ? relay_end::whole : relay_end::caller_gone;
    }
}

} // namespace auburnweir::transport
