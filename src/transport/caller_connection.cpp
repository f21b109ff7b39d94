#include "transport/caller_connection.hpp"

#include "protocol/digest.hpp"
#include "protocol/metrics_text.hpp"
#include "state/overloaded.hpp"
#include "transport/clock.hpp"
#include "transport/connection_end.hpp"
#include "transport/request_error.hpp"

namespace auburnweir::transport
{

namespace
{

using state::refusal_reason;
using state::run_outcome;

constexpr int http_ok = 200;
constexpr int http_service_unavailable = 503;
constexpr unsigned http_version_1_1 = 11;
constexpr state::duration stopping_retry_delay = std::chrono::seconds{1};

auto redirect_error_to(error_code& error)
{
    return net::redirect_error(net::use_awaitable, error);
}

std::string header_value(http::fields const& headers, http::field name)
{
    auto const value = headers[name];
    return std::string{value.data(), value.size()};
}

std::string header_value(http::fields const& headers, std::string_view name)
{
    auto const value = headers[beast::string_view{name.data(), name.size()}];
    return std::string{value.data(), value.size()};
}

protocol::raw_headers raw_headers_of(http::fields const& headers)
{
    protocol::raw_headers raw;
    raw.authorization = header_value(headers, http::field::authorization);
    raw.request_id = header_value(headers, "X-Request-Id");
    raw.idempotency_key = header_value(headers, "Idempotency-Key");
    raw.last_event_id = header_value(headers, "Last-Event-ID");
    raw.timeout_ms = header_value(headers, protocol::timeout_header);
    raw.priority = header_value(headers, protocol::priority_header);
    raw.content_type = header_value(headers, http::field::content_type);
    return raw;
}

} // namespace

net::awaitable<bool> refuse(caller_call& call, protocol::problem p)
{
    call.context.tables.counters.increment(p.reason);
    auto response = response_for(p);
    co_return co_await call.writer.send(std::move(response));
}

caller_connection::caller_connection(entry_context& context, worker& home, tcp::socket socket)
    : context_(context)
    , worker_(home)
    , stream_(std::move(socket))
    , buffer_(static_cast<std::size_t>(context.settings.header_limit + context.settings.body_limit))
    , writer_(stream_, context.settings.write_timeout)
    , read_timeout_(stream_)
{
}

void caller_connection::start()
{
    net::co_spawn(
        worker_.io(), [self = shared_from_this()] { return self->run(); }, net::detached);
}

net::awaitable<void> caller_connection::run()
{
    bool open = true;
    while (open)
        open = co_await serve_request() && writer_.keeps_alive();
    co_await end_connection(stream_, writer_, buffer_, context_.settings.write_timeout);
}

net::awaitable<bool> caller_connection::refuse_unreadable_request(error_code error)
{
    writer_.keep_alive(false);
    if (is_disconnect(error))
        co_return false;
    protocol::problem p{refusal_reason_for(error), run_outcome::not_run, error.message(), {}, {}};
    co_return co_await send_problem(std::move(p));
}

net::awaitable<bool> caller_connection::serve_request()
{
    request_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(context_.settings.header_limit));
    parser.body_limit(static_cast<std::uint64_t>(context_.settings.body_limit));
    error_code error;
    read_timeout_.begin(context_.settings.header_timeout);
    co_await http::async_read_header(stream_, buffer_, parser, redirect_error_to(error));
    bool const idle = buffer_.size() == 0 && !parser.got_some();
    if (read_timeout_.end())
        error = idle ? error_code{net::error::operation_aborted} : beast::error::timeout;
    writer_.version(version_of(parser.get().version()));
    if (error)
        co_return co_await refuse_unreadable_request(error);
    bool const expects_to_continue =
        beast::iequals(parser.get()[http::field::expect], "100-continue");
    if (expects_to_continue && reads_interim_responses(version_of(parser.get().version())))
    {
        http::response<http::empty_body> continue_response{
            http::status::continue_, http_version_1_1};
        co_await http::async_write(stream_, continue_response, redirect_error_to(error));
    }
    read_timeout_.begin(context_.settings.body_timeout);
    co_await http::async_read(stream_, buffer_, parser, redirect_error_to(error));
    if (read_timeout_.end())
        error = beast::error::timeout;
    if (error)
        co_return co_await refuse_unreadable_request(error);
    auto incoming = parser.release();
    buffer_.shrink_to_fit(); // a streamed response may last long
    writer_.keep_alive(incoming.keep_alive() && !context_.stopping);
    co_return co_await dispatch(std::move(incoming));
}

net::awaitable<bool> caller_connection::send_problem(protocol::problem p)
{
    context_.tables.counters.increment(p.reason);
    auto response = response_for(p);
    co_return co_await writer_.send(std::move(response));
}

net::awaitable<bool> caller_connection::send_text(int status, std::string text)
{
    caller_response response;
    response.status = status;
    response.content_type = "text/plain; version=0.0.4";
    response.body = std::move(text);
    co_return co_await writer_.send(std::move(response));
}

std::string caller_connection::metrics_text() const
{
    auto text = protocol::encode_metrics(context_.tables.counters);
    protocol::append_gauge(
        text, "requests_in_progress", static_cast<double>(context_.activity.value()));
    protocol::append_gauge(
        text, "journals_held", static_cast<double>(context_.tables.journals.size()));
    protocol::append_gauge(
        text, "instances_known", static_cast<double>(context_.tables.instances.live().size()));
    protocol::append_gauge(
        text, "configuration_version",
        static_cast<double>(context_.tables.configuration.version().count()));
    return text;
}

net::awaitable<bool> caller_connection::dispatch(request incoming)
{
    auto const method = incoming.method_string();
    auto const target = incoming.target();
    auto const route =
        protocol::route_of({method.data(), method.size()}, {target.data(), target.size()});
    if (std::holds_alternative<protocol::health_route>(route))
        co_return co_await send_text(http_ok, "ok\n");
    if (std::holds_alternative<protocol::readiness_route>(route))
    {
        bool const stopping = context_.stopping;
        co_return co_await send_text(
            stopping ? http_service_unavailable : http_ok, stopping ? "stopping\n" : "ready\n");
    }
    if (std::holds_alternative<protocol::metrics_route>(route))
        co_return co_await send_text(http_ok, metrics_text());
    if (std::holds_alternative<protocol::unknown_route>(route))
    {
        protocol::problem p{
            refusal_reason::unknown_operation, run_outcome::not_run, "no such path", {}, {}};
        co_return co_await send_problem(std::move(p));
    }
    auto head = protocol::decode_request_head(raw_headers_of(incoming.base()));
    if (!head)
    {
        protocol::problem p{
            refusal_reason::malformed_request, run_outcome::not_run, head.error().reason, {}, {}};
        co_return co_await send_problem(std::move(p));
    }
    co_return co_await dispatch_call(std::move(incoming), route, std::move(head.value()));
}

net::awaitable<bool> caller_connection::dispatch_call(
    request incoming, protocol::request_route route, protocol::request_head head)
{
    auto const config = context_.tables.configuration.current();
    auto const* organisation = config->organisation_of(protocol::sha256(head.bearer));
    if (!organisation)
    {
        protocol::problem p{refusal_reason::unauthorised, run_outcome::not_run, {}, head.id, {}};
        co_return co_await send_problem(std::move(p));
    }
    if (context_.refuses_requests)
    {
        protocol::problem p{refusal_reason::stopping, run_outcome::not_run, {}, head.id, {}};
        p.retry_after = stopping_retry_delay;
        co_return co_await send_problem(std::move(p));
    }
    bool const accepts_event_stream =
        header_value(incoming.base(), http::field::accept).find("text/event-stream") !=
        std::string::npos;
    caller_call call{
        context_,
        worker_,
        writer_,
        config,
        *organisation,
        head,
        std::move(incoming.body()),
        accepts_event_stream,
        std::nullopt};
    if (head.timeout)
        call.deadline = now() + *head.timeout;
    if (std::holds_alternative<protocol::chat_route>(route))
        co_return co_await handle_chat(call);
    if (auto const* operation = std::get_if<protocol::operation_route>(&route))
        co_return co_await handle_operation(call, *operation);
    co_return co_await handle_answer(call, std::get<protocol::answer_route>(route));
}

} // namespace auburnweir::transport
