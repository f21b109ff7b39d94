#include "transport/response_relay.hpp"

#include "protocol/event_splitter.hpp"
#include "state/overloaded.hpp"
#include "transport/response_status.hpp"

namespace auburnweir::transport
{

namespace
{

/// Size limit of a response that is buffered before it is sent to the caller.
constexpr state::byte_count max_buffered_response{16LL * 1024 * 1024};

/// One response uses at most the memory budget divided by this.
constexpr std::int64_t response_share_divisor = 4;

/// A stream without an event for longer resumes at another server if its route permits that.
constexpr state::duration max_stream_silence = std::chrono::milliseconds{1500};

/// When sending an event to the caller takes longer, the caller delays the stream. The time to the
/// next event then tells nothing of the server.
constexpr state::duration max_undelayed_write = std::chrono::milliseconds{10};

/// A read that waits for less returns events that had arrived before it.
constexpr state::duration min_read_wait = std::chrono::milliseconds{1};

relay_result result_of(http_error error)
{
    switch (error)
    {
    case http_error::timed_out:
        return relay_result::timed_out;
    case http_error::too_large:
        return relay_result::malformed;
    case http_error::out_of_memory:
        return relay_result::out_of_memory;
    case http_error::connect_failed:
    case http_error::response_lost:
        break;
    }
    return relay_result::interrupted;
}

} // namespace

std::string_view name_of(relay_result result)
{
    switch (result)
    {
    case relay_result::complete:
        return "complete";
    case relay_result::interrupted:
        return "interrupted";
    case relay_result::truncated:
        return "truncated";
    case relay_result::malformed:
        return "malformed";
    case relay_result::out_of_memory:
        return "out_of_memory";
    case relay_result::timed_out:
        return "timed_out";
    case relay_result::caller_left:
        break;
    }
    return "caller_left";
}

state::server_outcome outcome_of(relay_result result)
{
    switch (result)
    {
    case relay_result::complete:
        return state::server_outcome::answered;
    case relay_result::interrupted:
    case relay_result::truncated:
    case relay_result::malformed:
        return state::server_outcome::failed;
    case relay_result::timed_out:
        return state::server_outcome::unreachable;
    case relay_result::out_of_memory:
    case relay_result::caller_left:
        break;
    }
    return state::server_outcome::abandoned;
}

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
    state::memory_reservation memory(context_.tables.buffer_memory);
    body_limits limits;
    auto const share = context_.tables.buffer_memory.capacity().count() / response_share_divisor;
    limits.size = std::min(max_buffered_response, state::byte_count{share});
    limits.timeout = time_left();
    limits.memory = &memory;
    auto body = co_await response.read_rest(limits);
    if (request_.cancel->cancelled())
        co_return relay_result::caller_left;
    if (!body)
        co_return result_of(body.error());
    auto const proof = co_await proof_of(response);
    if (request_.cancel->cancelled())
        co_return relay_result::caller_left;
    if (proof == coordination::body_proof::none)
        co_return relay_result::interrupted;
    auto reply = response_header(response);
    reply.body = std::move(body.value());
    context_.tables.first_byte_latency.record(now() - request_.arrived_at);
    bool const written = co_await writer_.send(std::move(reply));
    co_return written ? relay_result::complete : relay_result::caller_left;
}

net::awaitable<bool> response_relay::begin(http_stream const& response)
{
    started_ = true;
    context_.tables.first_byte_latency.record(now() - request_.arrived_at);
    auto header = response_header(response);
    co_return co_await writer_.begin(std::move(header));
}

void response_relay::begin_attempt()
{
    first_event_at_.reset();
    events_ = 0;
    intervals_ = {};
    has_told_of_answering_ = false;
}

bool response_relay::is_answering() const
{
    return first_event_at_ && now() - *first_event_at_ >= answering_time;
}

void response_relay::report_intervals(std::optional<state::event_intervals> const& portion)
{
    if (portion && request_.on_intervals)
        request_.on_intervals(*portion);
}

void response_relay::record_events(std::size_t count)
{
    auto const time = now();
    first_event_at_ = first_event_at_.value_or(time);
    events_ += count;
    report_intervals(intervals_.add(count, time));
    if (has_told_of_answering_ || !is_answering())
        return;
    has_told_of_answering_ = true;
    request_.on_answering();
}

net::awaitable<relay_result> response_relay::relay_stream(http_stream& response)
{
    auto const result = co_await relay_events(response);
    report_intervals(intervals_.take());
    co_return result;
}

net::awaitable<coordination::body_proof> response_relay::proof_of(http_stream const& response)
{
    using coordination::body_proof;
    if (!response.ends_with_connection())
        co_return body_proof::delimited;
    bool const outlived = co_await request_.has_outlived(response.requested_at());
    co_return outlived ? body_proof::outlived : body_proof::none;
}

relay_result response_relay::result_of_end(
    http_stream const& response, coordination::body_proof proof, bool is_inside_event)
{
    coordination::stream_end end;
    end.proof = proof;
    end.is_event_stream = may_be_event_stream(response);
    end.is_resumed = request_.is_resumed || !last_event_id_.empty();
    end.has_events = first_event_at_.has_value();
    end.is_inside_event = is_inside_event;
    end.has_begun_next_event = next_event_begun_;
    auto const result = std::visit(
        state::overloaded{
            [](coordination::stream_completed const&) { return relay_result::complete; },
            [](coordination::stream_truncated const&) { return relay_result::truncated; },
            [](coordination::stream_disconnected const&) { return relay_result::interrupted; }},
        coordination::classify_stream_end(end));
    bool const stops_early = is_inside_event || !end.has_events;
    if (result != relay_result::complete && stops_early)
        context_.tables.counters.increment(
            is_inside_event ? state::event_counter::streams_ended_inside_event
                            : state::event_counter::streams_ended_without_event);
    return result;
}

net::awaitable<relay_result> response_relay::relay_events(http_stream& response)
{
    protocol::event_splitter events;
    state::memory_reservation memory(context_.tables.buffer_memory);
    auto silent_since = now();
    bool delayed_by_caller = false;
    bool begun_before = next_event_begun_; ///< by an earlier attempt
    for (;;)
    {
        auto const left = time_left();
        if (left <= state::duration::zero())
            co_return relay_result::timed_out;
        auto const silence = now() - silent_since;
        if (request_.may_resume_elsewhere && silence >= max_stream_silence)
        {
            if (request_.may_resume_elsewhere())
                co_return relay_result::interrupted;
            silent_since = now();
            continue;
        }
        auto const read_timeout =
            request_.may_resume_elsewhere ? std::min(left, max_stream_silence - silence) : left;
        auto const reading_since = now();
        auto const chunk = co_await response.read(read_timeout);
        delayed_by_caller = delayed_by_caller && now() - reading_since < min_read_wait;
        if (request_.cancel->cancelled())
            co_return relay_result::caller_left;
        if (!chunk)
        {
            if (chunk.error() == http_error::timed_out)
                continue;
            bool const late = time_left() <= state::duration::zero();
            co_return late ? relay_result::timed_out : relay_result::interrupted;
        }
        bool const ended = chunk.value().empty();
        if (!events.feed(chunk.value()))
        {
            context_.tables.counters.increment(state::event_counter::events_too_long);
            co_return relay_result::malformed;
        }
        auto ready = events.take_complete_events();
        if (!memory.try_resize_fairly(state::charged_bytes(ready.capacity() + events.capacity())))
            co_return relay_result::out_of_memory;
        if (events.last_had_content())
        {
            silent_since = now();
            if (delayed_by_caller)
                intervals_.skip_next();
            record_events(events.last_content_events());
            begun_before = false;
        }
        next_event_begun_ = begun_before || events.is_inside_event();
        if (ended)
        {
            auto const proof = co_await proof_of(response);
            if (request_.cancel->cancelled())
                co_return relay_result::caller_left;
            auto const result = result_of_end(response, proof, events.is_inside_event());
            if (result != relay_result::complete)
                co_return result;
            response.keep_connection();
            ready += events.take_remainder();
        }
        if (!events.last_id().empty())
            last_event_id_ = events.last_id();
        bool const starts = !started_ && (!ready.empty() || ended);
        if (starts && !co_await begin(response))
            co_return relay_result::caller_left;
        auto const sending_since = now();
        if (!ready.empty() && !co_await writer_.send_part(std::move(ready)))
            co_return relay_result::caller_left;
        if (now() - sending_since > max_undelayed_write)
        {
            delayed_by_caller = true;
            intervals_.skip_next();
        }
        memory.try_resize_fairly(state::charged_bytes(events.capacity()));
        if (!ended)
            continue;
        bool const written = co_await writer_.end();
        co_return written ? relay_result::complete : relay_result::caller_left;
    }
}

} // namespace auburnweir::transport
