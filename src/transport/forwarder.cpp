#include "transport/forwarder.hpp"

#include "state/overloaded.hpp"
#include "transport/async_signal.hpp"
#include "transport/request_log.hpp"
#include "transport/response_filter.hpp"
#include "transport/response_status.hpp"

#include <charconv>

namespace auburnweir::transport
{

namespace
{
using coordination::attempt_failed;
using coordination::attempt_lost;
using coordination::attempt_not_run;
using state::refusal_reason;
using state::retry_reason;
using state::server_outcome;

/// Pooled connections that were idle for longer are not used for requests that must not run twice:
/// if the server closes the connection at that moment, it is unknown whether it got the request.
constexpr state::duration max_idle_for_at_most_once = std::chrono::milliseconds{1000};

/// Retry-After of refusals, by cause.
constexpr state::duration retry_delay_when_unready = std::chrono::milliseconds{700};
constexpr state::duration retry_delay_when_stopping = std::chrono::milliseconds{50};

/// Retry-After while no server is permitted. Operators must act first, but the end of an evacuation
/// reaches this instance within a second.
constexpr state::duration retry_delay_when_not_permitted = std::chrono::milliseconds{1000};

/// Callers that are refused until a server opens are told to come back within this multiple of the
/// time, so that they do not return together.
constexpr double max_return_spread = 1.5;

/// Bounds of the waits of a request that can be completed by a closed server alone.
constexpr state::duration min_poll_period = std::chrono::milliseconds{5};
constexpr state::duration max_poll_period = std::chrono::milliseconds{200};

std::string seconds_with_fraction(state::duration d)
{
    auto const ms = std::chrono::ceil<std::chrono::milliseconds>(d).count();
    auto const fraction = std::to_string(1000 + ms % 1000).substr(1);
    return std::to_string(ms / 1000) + "." + fraction;
}

} // namespace

forwarder::forwarder(
    gateway_context& context, worker& assigned_worker, beast::tcp_stream& caller,
    response_writer& writer, caller_request request, state::time_point arrived_at)
    : context_(context)
    , worker_(assigned_worker)
    , caller_(caller)
    , writer_(writer)
    , request_(std::move(request))
    , arrived_at_(arrived_at)
    , recorder_(context, assigned_worker)
    , path_(context, assigned_worker)
    , quarantine_(context, assigned_worker)
    , liveness_(context, assigned_worker)
{
}

state::duration forwarder::time_left() const
{
    return deadline_ - now();
}

void forwarder::set_refusal(refusal_reason reason, state::duration retry_after, std::string detail)
{
    protocol::problem p;
    p.reason = reason;
    p.detail = std::move(detail);
    p.request = forwarded_.id;
    if (retry_after > state::duration::zero())
        p.retry_after = retry_after;
    refusal_ = std::move(p);
}

void forwarder::set_route(state::route const* found)
{
    using state::event_counter;
    route_ = found;
    if (!found)
        return;
    route_added_in_ = context_.tables.routes.added_in(*found);
    count_on_added_route(event_counter::added_route_requests);
}

void forwarder::count_on_added_route(state::event_counter event)
{
    if (route_added_in_)
        context_.tables.counters.increment(event);
}

bool forwarder::admit()
{
    auto& tables = context_.tables;
    auto const& settings = context_.settings;
    routes_ = tables.routes.current();
    confirmation_age_ = tables.routes.age(arrived_at_);
    if (!routes_)
    {
        set_refusal(refusal_reason::configuration_unknown, retry_delay_when_unready, "");
        return false;
    }
    std::string error;
    auto decoded = context_.ports.dialect.decode(request_, error);
    if (!decoded)
    {
        set_refusal(refusal_reason::malformed_request, {}, error);
        return false;
    }
    forwarded_ = std::move(*decoded);
    auto const target = request_.target();
    forwarded_.fingerprint = coordination::fingerprint_of(
        forwarded_.key, {target.data(), target.size()}, request_.body());
    auto const host = request_[http::field::host];
    auto const decision = coordination::admit_request(
        {forwarded_,
         {host.data(), host.size()},
         {target.data(), target.size()},
         *routes_,
         confirmation_age_,
         arrived_at_},
        {settings.configuration_bound, settings.revocation_bound}, tables.quotas);
    if (auto const* refused = std::get_if<coordination::request_refused>(&decision))
    {
        set_route(refused->route);
        set_refusal(refused->reason, refused->retry_after, "");
        return false;
    }
    auto const& admitted = std::get<coordination::request_admitted>(decision);
    set_route(admitted.route);
    service_ = admitted.service;
    organisation_ = admitted.organisation;
    quota_cost_ = admitted.quota_cost;
    deadline_ = admitted.deadline;
    progress_.retry = route_->retry;
    progress_.max_possibly_executed = route_->max_attempts;
    resume_after_ = forwarded_.resume_after;
    relayed_request relayed;
    relayed.arrived_at = arrived_at_;
    relayed.deadline = deadline_;
    relayed.cancel = cancel_;
    relayed.is_resumed = !resume_after_.empty();
    relayed.on_answering = [this] { recorder_.record_answer(forwarded_); };
    relayed.on_intervals = [this](state::event_intervals const& intervals)
    { recorder_.record_intervals(answering_server_, intervals); };
    relayed.has_outlived = [this](state::time_point requested_at)
    { return has_outlived(requested_at); };
    if (route_->retry == state::retry_rule::resumable)
        relayed.may_resume_elsewhere = [this] { return may_resume_elsewhere(); };
    relay_.emplace(context_, writer_, std::move(relayed));
    coordination::choice_request choice;
    choice.failure_domain = context_.settings.failure_domain;
    coordination::choice_policy policy = coordination::nearest_least_loaded{};
    if (route_->carries_prompt)
    {
        choice.affinity = coordination::affinity_of(forwarded_);
        choice.instance = settings.id;
        choice.shared_tokens = coordination::shared_tokens_of(forwarded_);
        auto const placement = tables.placements.of(routes_, service_);
        if (placement.uneven)
            policy = coordination::speed_weighted_placement{placement.separate_lanes};
        else
            policy = coordination::affinity_with_bounded_load{};
    }
    auto const path = std::string_view{target.data(), target.size()};
    coordination::placed_request placed{
        {host.data(), host.size()},
        std::string{path.substr(0, path.find('?'))},
        forwarded_.key,
        route_->id,
        organisation_ ? organisation_->id : state::organisation_id{}};
    request_placement placement(
        context_, std::move(placed), routes_,
        coordination::placement_of(*route_, organisation_, settings.domain_regions));
    selector_.emplace(context_, worker_, service_, std::move(choice), policy, std::move(placement));
    return true;
}

net::awaitable<void> forwarder::run()
{
    if (context_.phase == stop_phase::refusing)
    {
        set_refusal(refusal_reason::stopping, retry_delay_when_stopping, "");
        co_await send_refusal();
        co_return;
    }
    if (!admit())
    {
        co_await send_refusal();
        co_return;
    }
    context_.tables.counters.increment(state::event_counter::requests_accepted);
    context_.tables.retry_budget.record_request(service_, arrived_at_);
    caller_watch watch(caller_.socket(), cancel_);
    co_await run_attempts();
    quarantine_.finish(progress_.possibly_executed);
    if (!watch.caller_left() && !caller_left_)
        co_return;
    writer_.keep_alive(false);
    context_.tables.counters.increment(state::event_counter::callers_left);
    log_caller_left(logged());
}

net::awaitable<bool> forwarder::has_outlived(state::time_point requested_at)
{
    // A server that only peers reach can't be asked.
    if (path_.is_relayed())
        co_return false;
    co_return co_await liveness_.has_outlived(answering_server_, requested_at, deadline_);
}

bool forwarder::may_resume_elsewhere()
{
    progress_.time_left = time_left();
    return selector_->has_alternative() && coordination::may_retry(progress_) &&
           context_.tables.retry_budget.allows(service_, now());
}

net::awaitable<void> forwarder::run_attempts()
{
    while (!done_ && !cancel_->cancelled())
    {
        auto const refused =
            co_await quarantine_.pass(forwarded_, progress_.possibly_executed, deadline_, cancel_);
        if (refused)
        {
            co_await finish_quarantined(*refused);
            co_return;
        }
        progress_.time_left = time_left();
        auto selection = selector_->select(coordination::may_follow_refusal(progress_));
        if (auto* selected = std::get_if<server_selected>(&selection))
        {
            held_retry_ = std::move(selected->retry);
            co_await run_attempt(selected->server);
            held_retry_.reset();
        }
        else if (auto const* closed = std::get_if<servers_closed>(&selection))
            co_await wait_or_refuse(closed->until);
        else if (progress_.possibly_executed > 0)
            co_await finish_with_unknown_outcome(refusal_reason::backend_failed);
        else if (std::holds_alternative<no_server_permitted>(selection))
            co_await finish_not_run(
                refusal_reason::no_permitted_backend, retry_delay_when_not_permitted);
        else
            co_await finish_not_run(refusal_reason::no_backend);
    }
}

net::awaitable<void> forwarder::wait_or_refuse(state::time_point until)
{
    auto const wait = until - now();
    if (progress_.possibly_executed == 0)
    {
        std::uniform_real_distribution<double> spread(1, max_return_spread);
        auto const spread_wait =
            std::chrono::duration<double, state::duration::period>(wait) * spread(worker_.random());
        co_await finish_not_run(
            refusal_reason::backends_closed,
            std::chrono::duration_cast<state::duration>(spread_wait));
        co_return;
    }
    // The answer can't be completed elsewhere by the caller, who holds a part of it or must not
    // repeat the request.
    if (wait >= time_left())
        co_await finish_with_unknown_outcome(refusal_reason::backend_failed);
    else
        co_await sleep_for(worker_.io(), std::clamp(wait, min_poll_period, max_poll_period));
}

gateway_headers forwarder::gateway_headers_for(state::server_view const& server) const
{
    gateway_headers own;
    own.expected_backend = server.listed.id;
    own.time_left = time_left();
    if (organisation_)
        own.organisation = organisation_->id;
    if (route_->carries_prompt)
        own.priority =
            organisation_ && organisation_->priority ? *organisation_->priority : route_->priority;
    own.resume_after = resume_after_;
    return own;
}

net::awaitable<void> forwarder::handle_refused_relay(state::server_view const& server)
{
    path_.record_refusal();
    recorder_.record_end(server, server_outcome::abandoned);
    selector_->release(server.listed.id);
    attempt_not_run const failed{retry_reason::relay_refused};
    co_await handle_failed_attempt(server, failed);
}

net::awaitable<void> forwarder::run_attempt(state::server_view const& server)
{
    bool const has_path = path_.choose(server);
    recorder_.begin_attempt(path_.is_relayed());
    if (!has_path)
    {
        recorder_.record_end(server, server_outcome::abandoned);
        if (progress_.possibly_executed > 0)
            co_await finish_with_unknown_outcome(refusal_reason::backend_failed);
        else
            co_await finish_not_run(refusal_reason::no_backend);
        co_return;
    }
    http_request call;
    auto const method = request_.method_string();
    auto const target = request_.target();
    call.method = std::string{method.data(), method.size()};
    call.target = std::string{target.data(), target.size()};
    call.headers = context_.ports.dialect.encode(request_, forwarded_, gateway_headers_for(server));
    call.body = request_.body();
    bool const at_most_once = route_->retry == state::retry_rule::at_most_once;
    auto const to = path_.address(call, server.listed, forwarded_, at_most_once);

    call_policy policy;
    policy.header_timeout = time_left();
    policy.connect_timeout = context_.settings.connect_timeout;
    policy.cancel = cancel_;
    policy.request = forwarded_.id;
    if (at_most_once)
        policy.max_idle_time = max_idle_for_at_most_once;
    trace_ = {};
    response_filter filter(context_, forwarded_, server.listed.id, route_->retry, trace_);
    if (coordination::needs_own_connection(server.unnamed_refusal_at, now()))
        policy.use = connection_use::new_connection;
    policy.used_connection = &trace_.connection;
    policy.owner_of = [&](int status, http_fields const& headers)
    {
        // A peer has matched the server's response, and its own names no request.
        if (path_.is_relayed())
            return response_owner::this_call;
        return filter.owner_of(status, headers);
    };
    policy.on_unacknowledged = [this, &server]
    { recorder_.record_link_failure(server, coordination::link_failure::unacknowledged); };

    relay_->begin_attempt();
    ++progress_.attempts;
    context_.tables.counters.increment(state::event_counter::backend_attempts);
    auto opened = co_await worker_.http().open(to, std::move(call), policy);
    if (opened)
    {
        co_await handle_response(server, std::move(opened.value()));
        co_return;
    }
    if (cancel_->cancelled())
    {
        recorder_.record_end(server, server_outcome::abandoned);
        co_return;
    }
    bool const is_unsent = opened.error() == http_error::connect_failed;
    if (is_unsent && path_.is_relayed())
    {
        co_await handle_refused_relay(server);
        co_return;
    }
    if (is_unsent)
    {
        recorder_.record_end(server, server_outcome::unreachable);
        recorder_.record_link_failure(server, coordination::link_failure::connect_failed);
        recorder_.record_unreachable(server);
        attempt_not_run const failed{retry_reason::connect_failed};
        co_await handle_failed_attempt(server, failed);
        co_return;
    }
    ++progress_.possibly_executed;
    bool const timed_out = opened.error() == http_error::timed_out;
    recorder_.record_end(server, timed_out ? server_outcome::unreachable : server_outcome::failed);
    if (!timed_out)
    {
        recorder_.record_link_failure(server, coordination::link_failure::lost);
        recorder_.record_loss(server, forwarded_);
    }
    if (!route_->streaming)
        recorder_.record_start(organisation_);
    co_await handle_failed_attempt(server, attempt_lost{timed_out});
}

net::awaitable<void> forwarder::handle_response(
    state::server_view const& server, http_stream response)
{
    if (!path_.was_sent(response))
    {
        co_await response.discard_rest();
        co_await handle_refused_relay(server);
        co_return;
    }
    auto const status = response.status();
    trace_.status = status;
    trace_.framing = response.framing();
    answering_server_ = server.listed;
    if (response.ends_with_connection() && !path_.is_relayed())
        liveness_.prepare(server.listed);
    auto const backend_values = context_.ports.dialect.decode_response(status, response.headers());
    recorder_.record_contact(server, trace_.connection.requests == 1);
    recorder_.record_statements(server, backend_values);
    if (backend_values.not_run)
    {
        response.record_refusal(forwarded_.id);
        co_await response.discard_rest();
        recorder_.record_end(server, server_outcome::refused);
        bool const misdirected = status == status_misdirected;
        if (misdirected)
            recorder_.record_replaced(server);
        co_await handle_failed_attempt(
            server, attempt_not_run{
                        misdirected ? retry_reason::other_backend_at_address
                                    : retry_reason::backend_overloaded});
        co_return;
    }
    held_retry_.reset();
    ++progress_.possibly_executed;
    recorder_.record_start(organisation_);
    bool const failed = status >= first_server_error_status || states_not_run(status) ||
                        (progress_.response_begun && !continues_stream(response));
    if (failed)
    {
        recorder_.record_end(server, server_outcome::failed);
        if (!co_await relays_failure(server, response))
            co_return;
    }
    bool const has_body = request_.method() != http::verb::head && status != status_no_content;
    bool const streamed = route_->streaming && is_success(status) && has_body;
    auto result = relay_result::interrupted;
    if (streamed)
        result = co_await relay_->relay_stream(response);
    else
        result = co_await relay_->relay_buffered(response);
    trace_.body = name_of(result);
    trace_.events = relay_->events();
    if (response.ends_with_connection())
        context_.tables.counters.increment(state::event_counter::responses_ended_with_connection);
    progress_.response_begun = relay_->has_started();
    if (!relay_->last_event_id().empty())
        resume_after_ = relay_->last_event_id();
    if (!failed)
    {
        recorder_.record_end(server, outcome_of(result));
        record_segments(server, status, result);
    }
    switch (result)
    {
    case relay_result::complete:
        done_ = true;
        context_.tables.counters.increment(state::event_counter::requests_completed);
        count_on_added_route(state::event_counter::added_route_requests_relayed);
        context_.tables.full_response_latency.record(now() - arrived_at_);
        log_finished(
            logged(), {routes_, confirmation_age_},
            {server.listed.id, path_.relay(), relay_->last_event_id(), trace_});
        break;
    case relay_result::caller_left:
        caller_left_ = true;
        done_ = true;
        break;
    case relay_result::interrupted:
    case relay_result::malformed:
        co_await handle_failed_attempt(server, attempt_lost{false});
        break;
    case relay_result::truncated:
        co_await handle_failed_attempt(server, coordination::attempt_truncated{});
        break;
    case relay_result::out_of_memory:
        co_await handle_failed_attempt(server, coordination::attempt_unbuffered{});
        break;
    case relay_result::timed_out:
        co_await handle_failed_attempt(server, attempt_lost{true});
        break;
    }
}

net::awaitable<bool> forwarder::relays_failure(
    state::server_view const& server, http_stream& response)
{
    auto const status = response.status();
    attempt_failed const failed{states_not_run(status)};
    progress_.time_left = time_left();
    auto decision = coordination::decide_attempt(failed, progress_, true);
    if (std::holds_alternative<coordination::retry_elsewhere>(decision))
    {
        if (context_.tables.retry_budget.try_acquire(service_, now()))
        {
            co_await response.discard_rest();
            context_.tables.counters.increment(retry_reason::backend_error);
            log_attempt(server, "status_" + std::to_string(status), "send_again");
            co_return false;
        }
        decision = coordination::decide_attempt(failed, progress_, false);
    }
    auto const* unknown = std::get_if<coordination::reply_outcome_unknown>(&decision);
    if (!unknown)
        co_return true;
    give_up(unknown->cause);
    log_attempt(server, "status_" + std::to_string(status), name_of(unknown->cause));
    co_await finish_with_unknown_outcome(unknown->reason);
    co_return false;
}

net::awaitable<void> forwarder::handle_failed_attempt(
    state::server_view const& server, coordination::failed_attempt_kind failed)
{
    progress_.time_left = time_left();
    auto decision = coordination::decide_attempt(failed, progress_, true);
    if (auto const* retry_decision = std::get_if<coordination::retry_elsewhere>(&decision))
    {
        // The budget limits what arrives at servers; these attempts were not sent.
        bool const is_free = retry_decision->cause == retry_reason::relay_refused ||
                             retry_decision->cause == retry_reason::connect_failed;
        if (is_free || acquire_retry())
        {
            context_.tables.counters.increment(retry_decision->cause);
            log_attempt(server, name_of(retry_decision->cause), "send_again");
            if (progress_.response_begun)
                context_.tables.counters.increment(state::event_counter::streams_resumed);
            co_return;
        }
        decision = coordination::decide_attempt(failed, progress_, false);
    }
    done_ = true;
    if (auto const* refused = std::get_if<coordination::reply_not_run>(&decision))
    {
        give_up(refused->cause);
        log_attempt(server, name_of(refused->reason), "refuse");
        co_await finish_not_run(refused->reason);
    }
    else if (auto const* unknown = std::get_if<coordination::reply_outcome_unknown>(&decision))
    {
        give_up(unknown->cause);
        log_attempt(server, name_of(unknown->reason), name_of(unknown->cause));
        co_await finish_with_unknown_outcome(unknown->reason);
    }
}

bool forwarder::acquire_retry()
{
    if (!held_retry_)
        return context_.tables.retry_budget.try_acquire(service_, now());
    held_retry_->use();
    held_retry_.reset();
    return true;
}

void forwarder::give_up(state::give_up_reason cause)
{
    gave_up_ = cause;
    context_.tables.counters.increment(cause);
}

net::awaitable<void> forwarder::finish_not_run(refusal_reason reason, state::duration retry_after)
{
    done_ = true;
    if (organisation_)
        context_.tables.quotas.refund(organisation_->id, quota_cost_);
    set_refusal(reason, retry_after, "");
    co_await send_refusal();
}

net::awaitable<void> forwarder::finish_quarantined(quarantine_refusal const& refused)
{
    auto const& segment = refused.segment;
    quarantined_segment_ = segment.id;
    if (progress_.possibly_executed == 0)
    {
        auto reason = refusal_reason::segment_quarantined;
        if (refused.may_be_sound)
            reason = refusal_reason::segment_on_trial;
        else if (segment.id.empty())
            reason = refusal_reason::request_quarantined;
        co_await finish_not_run(reason, segment.remaining);
        co_return;
    }
    give_up(state::give_up_reason::segment_quarantined);
    co_await finish_with_unknown_outcome(refusal_reason::backend_failed);
}

net::awaitable<void> forwarder::finish_with_unknown_outcome(refusal_reason reason)
{
    done_ = true;
    if (progress_.response_begun)
    {
        // The started response can't be completed. Closing the connection early shows the caller
        // that it is incomplete.
        writer_.keep_alive(false);
        context_.tables.counters.increment(reason);
        log_broken_off(logged(), reason, resume_after_);
        co_return;
    }
    set_refusal(reason, {}, "");
    refusal_->outcome = state::run_outcome::outcome_unknown;
    co_await send_refusal();
}

net::awaitable<void> forwarder::send_refusal()
{
    auto const& p = *refusal_;
    auto reply = response_for(p);
    std::erase_if(reply.headers, [](auto const& h) { return h.first == "Retry-After"; });
    if (p.retry_after)
        reply.headers.emplace_back("Retry-After", seconds_with_fraction(*p.retry_after));
    for (auto& header : context_.ports.dialect.own_response_headers(forwarded_))
        reply.headers.push_back(std::move(header));
    auto const status = reply.status;
    context_.tables.counters.increment(p.reason);
    count_on_added_route(state::event_counter::added_route_requests_refused);
    log_refused(logged(), {routes_, confirmation_age_}, p, status, quarantined_segment_);
    co_await writer_.send(std::move(reply));
}

void forwarder::record_segments(state::server_view const& server, int status, relay_result result)
{
    bool const succeeded = result == relay_result::complete && is_success(status);
    if (succeeded || relay_->is_answering())
        recorder_.record_answer(forwarded_);
    else if (result == relay_result::interrupted)
        recorder_.record_loss(server, forwarded_);
}

logged_request forwarder::logged() const
{
    return {forwarded_, route_,  progress_.attempts, arrived_at_, route_added_in_,
            service_,   gave_up_};
}

void forwarder::log_attempt(
    state::server_view const& server, std::string_view cause, std::string_view next)
{
    log_failed_attempt(
        logged(), {server.listed.id, cause, next, path_.relay(), relay_->first_event_at(),
                   time_left(), trace_});
}

} // namespace auburnweir::transport
