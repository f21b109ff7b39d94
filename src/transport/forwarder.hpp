#ifndef AUBURNWEIR_TRANSPORT_FORWARDER_HPP
#define AUBURNWEIR_TRANSPORT_FORWARDER_HPP

#include "coordination/attempt_policy.hpp"
#include "coordination/request_admission.hpp"
#include "coordination/server_choice.hpp"
#include "transport/answer_relay.hpp"
#include "transport/caller_watch.hpp"
#include "transport/gateway_context.hpp"
#include "transport/reply_writer.hpp"

namespace auburnweir::transport
{

/// Sees one request through: finds its route, sends it to backend servers and relays the answer.
class forwarder
{
public:
    using caller_request = http::request<http::string_body>;

    forwarder(
        gateway_context& context, worker& home, beast::tcp_stream& caller, reply_writer& writer,
        caller_request request, state::time_point arrived);

    net::awaitable<void> run();

private:
    bool admit();
    std::vector<state::server_view> candidates() const;
    bool may_go_on_elsewhere();
    net::awaitable<void> attempts();
    net::awaitable<void> attempt(state::server_view const& server);
    net::awaitable<void> take_answer(state::server_view const& server, http_stream answer);
    net::awaitable<void> decide(
        state::server_view const& server, coordination::failed_attempt_kind failed);
    net::awaitable<void> finish_not_run(state::refusal_reason reason);
    net::awaitable<void> finish_unknown(state::refusal_reason reason);
    net::awaitable<void> refuse_now();

    void refuse(state::refusal_reason reason, state::duration retry_after, std::string detail);
    void end_attempt(state::server_view const& server, state::server_outcome outcome);
    void begun_running();
    void log_attempt(state::server_view const& server, std::string_view what, std::string next);
    state::duration time_left() const;
    outgoing_head outgoing(state::server_view const& server) const;

    gateway_context& context_;
    worker& home_;
    beast::tcp_stream& caller_;
    reply_writer& writer_;
    caller_request request_;
    state::time_point arrived_;

    state::forwarded_request head_;
    state::route_set_ptr routes_;
    state::route const* route_ = nullptr;
    state::service_id service_;
    state::organisation_quota const* organisation_ = nullptr;
    state::duration routes_age_{0};
    state::time_point deadline_;
    double quota_cost_ = 0;

    std::shared_ptr<call_cancel> cancel_ = std::make_shared<call_cancel>();
    std::set<state::backend_id> tried_;
    coordination::attempt_progress progress_;
    std::optional<answer_relay> relay_; ///< once the request is admitted
    std::string resume_after_;
    bool done_ = false;
    bool caller_left_ = false;
    std::optional<protocol::problem> refusal_;
};

} // namespace auburnweir::transport

#endif
