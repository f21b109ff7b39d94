#ifndef AUBURNWEIR_TRANSPORT_RELAY_HANDLER_HPP
#define AUBURNWEIR_TRANSPORT_RELAY_HANDLER_HPP

#include "protocol/relay_head.hpp"
#include "transport/attempt_recorder.hpp"
#include "transport/gateway_context.hpp"
#include "transport/request_log.hpp"
#include "transport/response_writer.hpp"
#include "transport/server_liveness.hpp"

namespace auburnweir::transport
{

/// Relays one attempt of a request for an instance that does not reach the server.
///
/// The asking instance keeps the request: it chooses the server, counts the attempt, its quota, its
/// retry and its usage. This instance sends it once, to that server alone, and records what the
/// server says and whether the request crashed it. A response without `relayed_header` states that
/// nothing was sent; when the outcome is unknown, the connection breaks off.
class relay_handler
{
public:
    using relayed_request = http::request<http::string_body>;

    relay_handler(
        gateway_context& context, worker& assigned_worker, beast::tcp_stream& asking,
        response_writer& writer, relayed_request request, state::time_point arrived_at);

    net::awaitable<void> run();

private:
    /// The request may be sent to this server, for which it is counted.
    struct permitted
    {
        state::server_view server;
    };

    /// Nothing is sent.
    struct refused
    {
        state::refusal_reason reason;
        std::string_view detail;
    };

    using permission = std::variant<permitted, refused>;

    permission decide();
    std::optional<protocol::relay_head> read_head() const;
    net::awaitable<void> refuse(refused const& why);
    net::awaitable<void> send(state::server_view const& server);
    net::awaitable<void> relay(state::server_view const& server, http_stream response);
    /// Sends the body of a response on. @return how the attempt ended for the server's health
    net::awaitable<state::server_outcome> relay_body(
        state::server_view const& server, http_stream& response);
    /// Breaks the connection off, so that no part of a response looks complete.
    void break_off();
    state::duration time_left() const;

    gateway_context& context_;
    worker& worker_;
    beast::tcp_stream& asking_;
    response_writer& writer_;
    relayed_request request_;
    state::time_point arrived_at_;
    activity_count::scope in_progress_;
    state::forwarded_request forwarded_;
    protocol::relay_head head_;
    state::time_point deadline_;
    attempt_recorder recorder_;
    server_liveness liveness_;
    attempt_trace trace_;
    std::shared_ptr<call_cancellation> cancel_ = std::make_shared<call_cancellation>();
};

} // namespace auburnweir::transport

#endif
