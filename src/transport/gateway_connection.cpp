#include "transport/gateway_connection.hpp"

#include "state/overloaded.hpp"
#include "transport/connection_end.hpp"
#include "transport/relay_handler.hpp"
#include "transport/request_error.hpp"

namespace auburnweir::transport
{

namespace
{

/// Extra time for callers that use a connection up to its idle timeout.
constexpr state::duration idle_timeout_margin = std::chrono::seconds{1};

/// Bytes by which the header of a relayed request may exceed that of its caller.
constexpr std::size_t relay_header_bytes = 4UL * 1024;

/// Received bytes beyond a request's header that are buffered before they are parsed.
constexpr std::size_t read_ahead_bytes = 64UL * 1024;

/// Retry-After of requests that are refused because callers have too many connections.
constexpr state::duration retry_delay_without_connections = std::chrono::milliseconds{1000};

/// Retry-After of requests that are refused because bodies of other requests use the memory.
constexpr state::duration retry_delay_without_memory = std::chrono::milliseconds{500};

auto redirect_error_to(error_code& error)
{
    return net::redirect_error(net::use_awaitable, error);
}

/// Transfer codings other than exactly `chunked` make the end of a request ambiguous.
bool has_unambiguous_framing(http::fields const& fields)
{
    auto const codings = fields.count(http::field::transfer_encoding);
    if (codings == 0)
        return true;
    bool const both = fields.count(http::field::content_length) > 0;
    return codings == 1 && !both &&
           beast::iequals(fields[http::field::transfer_encoding], "chunked");
}

} // namespace

gateway_connection::gateway_connection(
    gateway_context& context, worker& assigned_worker, tcp::socket socket, connection_door door)
    : context_(context)
    , worker_(assigned_worker)
    , door_(door)
    , open_(context.callers.open.begin())
    , is_surplus_(static_cast<std::size_t>(context.callers.open.value()) > context.callers.max)
    , stream_(std::move(socket))
    , writer_(stream_, context.settings.write_timeout)
    , read_timeout_(stream_)
{
}

void gateway_connection::start()
{
    net::co_spawn(
        worker_.io(), [self = shared_from_this()] { return self->run(); }, net::detached);
}

state::caller_limits gateway_connection::limits() const
{
    auto const routes = context_.tables.routes.current();
    return routes ? routes->limits() : state::caller_limits{};
}

std::size_t gateway_connection::max_header_bytes() const
{
    auto const of_callers = static_cast<std::size_t>(limits().header.count());
    bool const is_relayed = std::holds_alternative<relay_door>(door_);
    return of_callers + (is_relayed ? relay_header_bytes : 0);
}

net::awaitable<void> gateway_connection::run()
{
    bool open = true;
    while (open)
        open = co_await serve_one() && writer_.keeps_alive();
    co_await end_connection(stream_, writer_, buffer_, context_.settings.write_timeout);
}

net::awaitable<bool> gateway_connection::wait_for_request()
{
    if (buffer_.size() > 0)
        co_return true;
    auto const since = now();
    for (;;)
    {
        // The timeout may grow while the connection is idle.
        auto const timeout = is_surplus_ ? limits().header_timeout : limits().idle_timeout;
        auto const left = timeout + idle_timeout_margin - (now() - since);
        if (left <= state::duration::zero())
            co_return false;
        read_timeout_.begin(left);
        error_code error;
        co_await stream_.socket().async_wait(tcp::socket::wait_read, redirect_error_to(error));
        bool const expired = read_timeout_.end();
        if (!error)
            co_return true;
        if (!expired)
            co_return false;
    }
}

net::awaitable<bool> gateway_connection::serve_one()
{
    if (!co_await wait_for_request())
    {
        writer_.keep_alive(false);
        co_return false;
    }
    // Counted from the first byte on, so that a stop waits for the rest of the request.
    auto const active = context_.activity.begin();
    auto const caller_limits = limits();
    request_parser parser;
    auto const header_bytes = max_header_bytes();
    parser.header_limit(static_cast<std::uint32_t>(header_bytes));
    parser.body_limit(static_cast<std::uint64_t>(caller_limits.body.count()));
    buffer_.max_size(header_bytes + read_ahead_bytes);
    read_timeout_.begin(caller_limits.header_timeout);
    error_code error;
    co_await http::async_read_header(stream_, buffer_, parser, redirect_error_to(error));
    if (read_timeout_.end())
        error = beast::error::timeout;
    auto const arrived_at = now();
    writer_.version(version_of(parser.get().version()));
    if (!error && !has_unambiguous_framing(parser.get()))
        error = http::error::bad_transfer_encoding;
    if (!error && is_surplus_)
    {
        protocol::problem p;
        p.reason = state::refusal_reason::connections_exhausted;
        p.retry_after = retry_delay_without_connections;
        co_await refuse(std::move(p));
        co_return false;
    }
    state::memory_reservation body_memory(context_.tables.buffer_memory);
    if (!error && !body_memory.try_grow(buffered_body_size(parser)))
    {
        protocol::problem p;
        p.reason = state::refusal_reason::request_memory_exhausted;
        p.retry_after = retry_delay_without_memory;
        co_await refuse(std::move(p));
        co_return false;
    }
    if (!error)
        error = co_await read_body(parser);
    if (error)
    {
        co_await refuse_unread(error);
        co_return false;
    }
    writer_.keep_alive(parser.get().keep_alive() && context_.phase == stop_phase::running);
    auto request = parser.release();
    auto handled = std::visit(
        state::overloaded{
            [&](caller_door const&) { return forward(std::move(request), arrived_at); },
            [&](relay_door const&) { return relay(std::move(request), arrived_at); }},
        door_);
    co_await std::move(handled);
    if (context_.phase != stop_phase::running)
        writer_.keep_alive(false);
    co_return true;
}

net::awaitable<void> gateway_connection::forward(
    received_request request, state::time_point arrived_at)
{
    forwarder forwarded(context_, worker_, stream_, writer_, std::move(request), arrived_at);
    co_await forwarded.run();
}

net::awaitable<void> gateway_connection::relay(
    received_request request, state::time_point arrived_at)
{
    relay_handler relayed(context_, worker_, stream_, writer_, std::move(request), arrived_at);
    co_await relayed.run();
}

state::byte_count gateway_connection::buffered_body_size(request_parser const& parser) const
{
    if (parser.is_done())
        return state::byte_count{0};
    auto const limit = limits().body;
    auto const length = parser.content_length();
    // A longer body is refused before it is read.
    if (!length || *length > static_cast<std::uint64_t>(limit.count()))
        return limit;
    return state::byte_count{static_cast<std::int64_t>(*length)};
}

net::awaitable<error_code> gateway_connection::read_body(request_parser& parser)
{
    error_code error;
    if (parser.is_done())
        co_return error;
    bool const expects_to_continue =
        beast::iequals(parser.get()[http::field::expect], "100-continue");
    if (expects_to_continue && reads_interim_responses(version_of(parser.get().version())))
    {
        constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await net::async_write(
            stream_, net::buffer(continue_response.data(), continue_response.size()),
            redirect_error_to(error));
        if (error)
            co_return error;
    }
    read_timeout_.begin(context_.settings.body_timeout);
    co_await http::async_read(stream_, buffer_, parser, redirect_error_to(error));
    if (read_timeout_.end())
        error = beast::error::timeout;
    co_return error;
}

net::awaitable<void> gateway_connection::refuse_unread(error_code error)
{
    writer_.keep_alive(false);
    if (is_disconnect(error))
        co_return;
    protocol::problem p;
    p.reason = refusal_reason_for(error);
    p.detail = error.message();
    co_await refuse(std::move(p));
}

net::awaitable<void> gateway_connection::refuse(protocol::problem p)
{
    writer_.keep_alive(false);
    context_.tables.counters.increment(p.reason);
    auto reply = response_for(p);
    co_await writer_.send(std::move(reply));
}

} // namespace auburnweir::transport
