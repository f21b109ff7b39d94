#include "transport/relay_handler.hpp"

#include "coordination/attempt_policy.hpp"
#include "coordination/response_attribution.hpp"
#include "transport/caller_watch.hpp"
#include "transport/response_filter.hpp"
#include "transport/response_status.hpp"

#include <charconv>

namespace auburnweir::transport
{

namespace
{

using state::refusal_reason;
using state::server_outcome;

/// Requests that an instance relays for others at the same time. Their callers' own come first.
constexpr std::int64_t max_relayed_requests = 256;

/// Pooled connections that were idle for longer are not used for requests that must not run twice.
constexpr state::duration max_idle_for_at_most_once = std::chrono::milliseconds{1000};

/// For a request without a time limit.
constexpr state::duration default_time_limit = std::chrono::seconds{30};

/// A server that breaks off a stream that ran for longer was not crashed by the request.
constexpr state::duration answering_time = std::chrono::seconds{1};

/// Always one that shows the end of the body: the asking instance can't ask the server whether it
/// runs, and this instance's own end would look like the server's.
response_framing framing_of(http_stream const& response, bool has_body)
{
    auto const length = response.headers()[http::field::content_length];
    std::uint64_t bytes = 0;
    auto const parsed = std::from_chars(length.data(), length.data() + length.size(), bytes);
    bool const has_length = !length.empty() && parsed.ec == std::errc{};
    if (has_length)
        return sized_body{bytes};
    return has_body ? response_framing{chunked_body{}} : response_framing{sized_body{0}};
}

} // namespace

relay_handler::relay_handler(
    gateway_context& context, worker& assigned_worker, beast::tcp_stream& asking,
    response_writer& writer, relayed_request request, state::time_point arrived_at)
    : context_(context)
    , worker_(assigned_worker)
    , asking_(asking)
    , writer_(writer)
    , request_(std::move(request))
    , arrived_at_(arrived_at)
    , in_progress_(context.relayed.begin())
    , recorder_(context, assigned_worker)
    , liveness_(context, assigned_worker)
{
}

state::duration relay_handler::time_left() const
{
    return deadline_ - now();
}

std::optional<protocol::relay_head> relay_handler::read_head() const
{
    auto const text = [](beast::string_view v) { return std::string_view{v.data(), v.size()}; };
    protocol::relayed_message message;
    message.method = text(request_.method_string());
    message.target = text(request_.target());
    message.request_id = forwarded_.id.str();
    message.body = request_.body();
    message.to = context_.settings.id;
    message.to_incarnation = context_.incarnation;
    auto const value = request_[{protocol::relay_header.data(), protocol::relay_header.size()}];
    return protocol::decode_relay_head(text(value), message, context_.settings.peer_key);
}

relay_handler::permission relay_handler::decide()
{
    std::string error;
    auto decoded = context_.ports.dialect.decode(request_, error);
    if (decoded)
        forwarded_ = std::move(*decoded);
    auto const head = decoded ? read_head() : std::nullopt;
    if (!head)
        return refused{refusal_reason::relay_unauthorised, ""};
    head_ = *head;
    forwarded_.fingerprint = head_.fingerprint;
    deadline_ = arrived_at_ + forwarded_.timeout.value_or(default_time_limit);
    if (context_.phase != stop_phase::running)
        return refused{refusal_reason::relay_unavailable, "stopping"};
    if (context_.relayed.value() > max_relayed_requests)
        return refused{refusal_reason::relay_unavailable, "full"};
    auto& tables = context_.tables;
    auto const server = tables.servers.view(head_.server);
    if (!server)
        return refused{refusal_reason::relay_unavailable, "unknown_server"};
    if (!tables.reach.may_reach(server->listed.service, server->first_listed_at))
        return refused{refusal_reason::relay_unavailable, "unreachable"};
    if (!tables.servers.try_send(head_.server, now()))
        return refused{refusal_reason::relay_unavailable, "server_closed"};
    return permitted{*server};
}

net::awaitable<void> relay_handler::run()
{
    auto const permission = decide();
    if (auto const* why = std::get_if<refused>(&permission))
    {
        co_await refuse(*why);
        co_return;
    }
    context_.tables.counters.increment(state::event_counter::attempts_relayed_for_others);
    caller_watch watch(asking_.socket(), cancel_);
    co_await send(std::get<permitted>(permission).server);
}

net::awaitable<void> relay_handler::refuse(refused const& why)
{
    protocol::problem p;
    p.reason = why.reason;
    p.detail = std::string{why.detail};
    p.request = forwarded_.id;
    context_.tables.counters.increment(p.reason);
    log_relay_refused(forwarded_, head_.from, p);
    auto reply = response_for(p);
    co_await writer_.send(std::move(reply));
}

net::awaitable<void> relay_handler::send(state::server_view const& server)
{
    http_request call;
    auto const method = request_.method_string();
    auto const target = request_.target();
    call.method = std::string{method.data(), method.size()};
    call.target = std::string{target.data(), target.size()};
    call.headers = context_.ports.dialect.pass_on(request_);
    call.body = request_.body();

    auto const rule =
        head_.at_most_once ? state::retry_rule::at_most_once : state::retry_rule::idempotent;
    call_policy policy;
    policy.header_timeout = time_left();
    policy.connect_timeout = context_.settings.connect_timeout;
    policy.cancel = cancel_;
    policy.request = forwarded_.id;
    if (head_.at_most_once)
        policy.max_idle_time = max_idle_for_at_most_once;
    response_filter filter(context_, forwarded_, server.listed.id, rule, trace_);
    if (coordination::needs_own_connection(server.unnamed_refusal_at, now()))
        policy.use = connection_use::new_connection;
    policy.used_connection = &trace_.connection;
    policy.owner_of = [&filter](int status, http_fields const& headers)
    { return filter.owner_of(status, headers); };
    policy.on_unacknowledged = [this, &server]
    { recorder_.record_link_failure(server, coordination::link_failure::unacknowledged); };

    auto opened = co_await worker_.http().open(server.listed.address, std::move(call), policy);
    if (opened)
    {
        co_await relay(server, std::move(opened.value()));
        co_return;
    }
    if (cancel_->cancelled())
    {
        recorder_.record_end(server, server_outcome::abandoned);
        break_off();
        co_return;
    }
    if (opened.error() == http_error::connect_failed)
    {
        recorder_.record_end(server, server_outcome::unreachable);
        recorder_.record_link_failure(server, coordination::link_failure::connect_failed);
        recorder_.record_unreachable(server);
        refused const why{refusal_reason::relay_unavailable, "connect_failed"};
        co_await refuse(why);
        co_return;
    }
    bool const timed_out = opened.error() == http_error::timed_out;
    recorder_.record_end(server, timed_out ? server_outcome::unreachable : server_outcome::failed);
    if (!timed_out)
    {
        recorder_.record_link_failure(server, coordination::link_failure::lost);
        recorder_.record_loss(server, forwarded_);
    }
    break_off();
}

net::awaitable<void> relay_handler::relay(state::server_view const& server, http_stream response)
{
    auto const status = response.status();
    auto const stated = context_.ports.dialect.decode_response(status, response.headers());
    recorder_.record_contact(server, trace_.connection.requests == 1);
    recorder_.record_statements(server, stated);
    if (stated.not_run)
        response.record_refusal(forwarded_.id);
    if (stated.not_run && status == status_misdirected)
        recorder_.record_replaced(server);
    auto outcome = co_await relay_body(server, response);
    if (outcome == server_outcome::answered && stated.not_run)
        outcome = server_outcome::refused;
    else if (outcome == server_outcome::answered && status >= first_server_error_status)
        outcome = server_outcome::failed;
    recorder_.record_end(server, outcome);
}

net::awaitable<server_outcome> relay_handler::relay_body(
    state::server_view const& server, http_stream& response)
{
    bool const has_body =
        request_.method() != http::verb::head && response.status() != status_no_content;
    caller_response header;
    header.status = response.status();
    header.content_type.clear(); // The server's headers include it.
    header.headers = context_.ports.dialect.encode_response(response.headers());
    header.headers.emplace_back(protocol::relayed_header, server.listed.id.str());
    auto const framing = framing_of(response, has_body);
    if (response.ends_with_connection())
        liveness_.prepare(server.listed);
    auto const began_at = now();
    if (!co_await writer_.begin(std::move(header), framing))
        co_return server_outcome::abandoned;
    for (;;)
    {
        auto const left = time_left();
        if (left <= state::duration::zero())
        {
            break_off();
            co_return server_outcome::unreachable;
        }
        auto const chunk = co_await response.read(left);
        if (cancel_->cancelled())
        {
            break_off();
            co_return server_outcome::abandoned;
        }
        if (!chunk)
        {
            bool const timed_out = chunk.error() == http_error::timed_out;
            if (!timed_out && now() - began_at < answering_time)
                recorder_.record_loss(server, forwarded_);
            break_off();
            co_return timed_out ? server_outcome::unreachable : server_outcome::failed;
        }
        if (chunk.value().empty())
            break;
        std::string part{chunk.value()};
        if (!co_await writer_.send_part(std::move(part)))
        {
            break_off();
            co_return server_outcome::abandoned;
        }
    }
    if (response.ends_with_connection())
    {
        auto const requested_at = response.requested_at();
        bool const outlived =
            co_await liveness_.has_outlived(server.listed, requested_at, deadline_);
        if (!outlived || cancel_->cancelled())
        {
            if (!outlived && now() - began_at < answering_time)
                recorder_.record_loss(server, forwarded_);
            break_off();
            co_return outlived ? server_outcome::abandoned : server_outcome::failed;
        }
    }
    response.keep_connection();
    bool const ended = !has_body || co_await writer_.end();
    co_return ended ? server_outcome::answered : server_outcome::abandoned;
}

void relay_handler::break_off()
{
    writer_.keep_alive(false);
    error_code ignored;
    asking_.socket().set_option(net::socket_base::linger(true, 0), ignored);
    asking_.socket().close(ignored);
}

} // namespace auburnweir::transport
