#include "transport/response_relay.hpp"

#include "transport/event_splitter.hpp"

namespace auburnweir::transport
{

namespace
{

/// Size limit of a response that is buffered before it is sent to the caller.
constexpr std::size_t max_buffered_response_bytes = 16 * 1024 * 1024;

/// A stream that is silent for longer resumes at another server if its route permits that.
constexpr state::duration max_stream_silence = std::chrono::milliseconds{1500};

} // namespace

response_relay::response_relay(
    gateway_context& context, response_writer& writer, relayed_request request)
    : context_(context)
    , writer_(writer)
    , request_(std::move(request))
{
}

state::duration response_relay::time_left() const
{
    return request_.deadline - now();
}

caller_response response_relay::response_header(http_stream const& response) const
{
    caller_response reply;
    reply.status = response.status();
    reply.content_type.clear(); // The server's headers include it.
    reply.headers = context_.ports.dialect.encode_response(response.headers());
    return reply;
}

net::awaitable<relay_result> response_relay::relay_buffered(http_stream& response)
{
    auto body = co_await response.read_rest(max_buffered_response_bytes, time_left());
    if (request_.cancel->cancelled())
        co_return relay_result::caller_left;
    if (!body)
        co_return body.error() == http_error::timed_out ? relay_result::timed_out
                                                        : relay_result::interrupted;
    auto reply = response_header(response);
    reply.body = std::move(body.value());
    context_.tables.first_byte_latency.record(now() - request_.arrived_at);
    bool const written = co_await writer_.send(std::move(reply));
    co_return written ? relay_result::complete : relay_result::caller_left;
}

net::awaitable<relay_result> response_relay::relay_stream(http_stream& response)
{
    event_splitter events;
    for (;;)
    {
        auto const left = time_left();
        if (left <= state::duration::zero())
            co_return relay_result::timed_out;
        auto const read_timeout =
            request_.may_resume_elsewhere ? std::min(left, max_stream_silence) : left;
        auto const chunk = co_await response.read(read_timeout);
        if (request_.cancel->cancelled())
            co_return relay_result::caller_left;
        if (!chunk)
        {
            bool const late = time_left() <= state::duration::zero();
            bool const silent = chunk.error() == http_error::timed_out && !late;
            if (silent && !request_.may_resume_elsewhere())
                continue;
            co_return late ? relay_result::timed_out : relay_result::interrupted;
        }
        bool const ended = chunk.value().empty();
        events.feed(chunk.value());
        auto ready = events.take_complete_events();
        if (ended)
            ready += events.take_remainder();
        if (!events.last_id().empty())
            last_event_id_ = events.last_id();
        if (!started_ && (!ready.empty() || ended))
        {
            started_ = true;
            context_.tables.first_byte_latency.record(now() - request_.arrived_at);
            auto header = response_header(response);
            if (!co_await writer_.begin(std::move(header)))
                co_return relay_result::caller_left;
        }
        if (!ready.empty() && !co_await writer_.send_chunk(std::move(ready)))
            co_return relay_result::caller_left;
        if (!ended)
            continue;
        bool const written = co_await writer_.end();
        co_return written ? relay_result::complete : relay_result::caller_left;
    }
}

} // namespace auburnweir::transport
