#include "transport/operation_caller.hpp"

#include "protocol/engine_codec.hpp"
#include "protocol/whole_document.hpp"
#include "transport/clock.hpp"

namespace auburnweir::transport
{

namespace
{

constexpr int http_too_many_requests = 429;
constexpr int min_server_error_status = 500;
constexpr int http_service_unavailable = 503;
constexpr state::duration min_attempt_timeout = std::chrono::milliseconds{1};

std::string header_value(http_fields const& headers, char const* name)
{
    auto const value = headers[name];
    return std::string{value.data(), value.size()};
}

/// Whether the backend server states that it did not run the operation.
bool states_not_run(http_response const& response)
{
    return header_value(response.headers, "X-Operation-Run") == "not_run";
}

/// Whether all of the body has come. A service that was killed ends a body without a length and
/// chunks as one that has sent all of it, and services offer nothing that could be asked instead.
bool is_whole(http_response const& response)
{
    return !response.ends_with_connection() ||
           protocol::proves_itself_whole(
               header_value(response.headers, "Content-Type"), response.body);
}

} // namespace

operation_caller::operation_caller(
    entry_context& context, worker& home, state::operation_request const& request,
    std::optional<state::time_point> deadline)
    : context_(context)
    , worker_(home)
    , request_(request)
    , deadline_(deadline)
{
    routing_.prompt = state::estimated_tokens(request.body);
    routing_.region = context.self.region;
}

std::optional<state::backend_view> operation_caller::choose_backend()
{
    auto const candidates = context_.candidates(request_.header.service);
    auto chosen = context_.tables.router.choose(candidates, routing_, now(), worker_.random());
    if (!chosen && !routing_.tried_backends.empty())
    {
        routing_.tried_backends.clear();
        chosen = context_.tables.router.choose(candidates, routing_, now(), worker_.random());
    }
    return chosen ? context_.tables.backends.find(*chosen) : std::nullopt;
}

net::awaitable<operation_outcome> operation_caller::call(bool idempotent)
{
    auto& tables = context_.tables;
    tables.retries.record_request(request_.header.service);
    for (int number = 1;; ++number)
    {
        auto const backend = choose_backend();
        if (!backend)
            co_return outcome_of_all(coordination::backend_did_not_run{});
        auto result = co_await attempt(*backend, idempotent);
        if (!result.failure)
        {
            tables.backends.record_success(backend->id);
            co_return std::move(result.outcome);
        }
        tables.counters.increment(*result.failure);
        context_.record_failure(*backend);
        routing_.tried_backends.insert(backend->id);
        routing_.failed_domains.insert(backend->failure_domain);

        bool const not_run =
            std::holds_alternative<coordination::backend_did_not_run>(result.outcome);
        may_have_run_ = may_have_run_ || !not_run;
        coordination::failed_attempt failed;
        failed.service = request_.header.service;
        failed.cause = *result.failure;
        failed.number = number;
        failed.deadline = deadline_;
        if (idempotent)
            failed.safety = coordination::retry_safety::idempotent;
        else if (not_run)
            failed.safety = coordination::retry_safety::proved_not_run;
        auto const decision = tables.retries.decide(failed, now(), worker_.random());
        if (auto const* stop = std::get_if<coordination::give_up>(&decision))
        {
            tables.counters.increment(stop->reason);
            co_return outcome_of_all(std::move(result.outcome));
        }
        co_await sleep_for(worker_.io(), std::get<coordination::retry_after>(decision).delay);
    }
}

operation_outcome operation_caller::outcome_of_all(operation_outcome last) const
{
    bool const last_did_not_run = std::holds_alternative<coordination::backend_did_not_run>(last);
    if (may_have_run_ && last_did_not_run)
        return coordination::backend_response_lost{};
    return last;
}

net::awaitable<operation_caller::attempt_result> operation_caller::attempt(
    state::backend_view backend, bool idempotent)
{
    auto const config = context_.tables.configuration.current();
    auto const* server = config->find(backend.id);
    if (!server)
        co_return attempt_result{
            coordination::backend_did_not_run{}, state::retry_reason::connect_failed};
    http_request call;
    call.method = "POST";
    call.target = "/" + request_.operation.str();
    call.content_type = request_.content_type;
    call.headers.emplace_back("X-Request-Id", request_.header.id.str());
    if (request_.key)
        call.headers.emplace_back("Idempotency-Key", request_.key->str());
    call.body = request_.body;

    auto timeout = context_.settings.stall_timeout;
    if (deadline_)
        timeout = std::clamp(*deadline_ - now(), min_attempt_timeout, timeout);
    auto& tables = context_.tables;
    tables.counters.increment(state::event_counter::backend_attempts);
    tables.backends.record_sent(backend.id, routing_.prompt);
    // Plain services don't name the request that they answer; only the connection tells.
    auto response = co_await worker_.http().call(
        server->address, std::move(call), timeout, connection_use::own_connection);
    tables.backends.record_end(backend.id);
    if (response)
        co_return classify_response(backend, response.value(), idempotent);
    switch (response.error())
    {
    case http_error::connect_failed:
        co_return attempt_result{
            coordination::backend_did_not_run{}, state::retry_reason::connect_failed};
    case http_error::timed_out:
        co_return attempt_result{
            coordination::backend_response_lost{}, state::retry_reason::stream_stalled};
    case http_error::response_lost:
    case http_error::too_large:
    case http_error::out_of_memory:
        break;
    }
    co_return attempt_result{
        coordination::backend_response_lost{}, state::retry_reason::stream_cut};
}

operation_caller::attempt_result operation_caller::classify_response(
    state::backend_view const& backend, http_response& response, bool idempotent)
{
    if (protocol::is_leaving_state(header_value(response.headers, "X-Engine-State")))
        context_.mark_leaving(backend.id, std::nullopt, worker_.random());
    if (states_not_run(response))
        return {coordination::backend_did_not_run{}, state::retry_reason::not_run_by_backend};
    if (!is_whole(response))
        return {coordination::backend_response_lost{}, state::retry_reason::stream_cut};
    state::operation_answer answer{
        response.status, header_value(response.headers, "Content-Type"), std::move(response.body)};
    if (!idempotent || response.status < min_server_error_status)
    {
        bool const overloaded = idempotent && response.status == http_too_many_requests;
        if (!overloaded)
            return {coordination::backend_answered{std::move(answer)}, std::nullopt};
    }
    auto const reason =
        response.status == http_service_unavailable || response.status == http_too_many_requests
            ? state::retry_reason::backend_overloaded
            : state::retry_reason::backend_error;
    return {coordination::backend_answered{std::move(answer)}, reason};
}

} // namespace auburnweir::transport
