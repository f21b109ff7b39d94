#include "coordination/operation_run.hpp"
#include "protocol/digest.hpp"
#include "protocol/record_codec.hpp"
#include "state/overloaded.hpp"
#include "transport/caller_handler.hpp"
#include "transport/clock.hpp"
#include "transport/log.hpp"
#include "transport/operation_caller.hpp"

namespace auburnweir::transport
{

namespace
{

using state::run_outcome;

constexpr std::size_t request_id_bytes = 12;
constexpr std::size_t attempt_token_bytes = 12;
constexpr state::duration settle_retry_delay = std::chrono::seconds{2};
constexpr int max_settle_attempts = 150;
constexpr state::duration refusal_retry_delay = std::chrono::seconds{1};

/// Digest of the request's service, operation and body; equal for repeated calls.
state::sha256_digest fingerprint_of(state::operation_request const& request)
{
    return protocol::sha256(
        request.header.service.str() + "\n" + request.operation.str() + "\n" + request.body);
}

/// Converts the result of a ledger write to an event of `operation_run`.
coordination::operation_event event_of(state::write_result const& result)
{
    using event = coordination::operation_event;
    return std::visit(
        state::overloaded{
            [](state::write_done const& r) -> event
            { return coordination::ledger_write_done{r.version}; },
            [](state::write_response_lost const&) -> event
            { return coordination::ledger_write_response_lost{}; },
            [](state::write_refused const&) -> event
            { return coordination::ledger_write_refused{}; },
            [](state::write_conflict const& r) -> event
            {
                if (r.current.version.count() == 0)
                    return coordination::ledger_write_conflict{std::nullopt};
                auto record = protocol::decode_ledger_record(r.current.value);
                if (!record)
                    return coordination::ledger_read_failed{};
                return coordination::ledger_write_conflict{
                    state::ledger_row{r.current.version, std::move(record.value())}};
            }},
        result);
}

coordination::operation_event event_of(state::read_result const& result)
{
    using event = coordination::operation_event;
    return std::visit(
        state::overloaded{
            [](state::table_row const& row) -> event
            {
                auto record = protocol::decode_ledger_record(row.value);
                if (!record)
                {
                    log(log_event::ledger_row_malformed, {{"row", row.key.str()}});
                    return coordination::ledger_read_failed{};
                }
                return coordination::ledger_row_read{
                    state::ledger_row{row.version, std::move(record.value())}};
            },
            [](state::row_absent const&) -> event
            { return coordination::ledger_row_read{std::nullopt}; },
            [](state::read_failed const&) -> event { return coordination::ledger_read_failed{}; }},
        result);
}

coordination::operation_event event_of(operation_outcome outcome)
{
    return std::visit(
        [](auto&& o) -> coordination::operation_event { return std::move(o); }, std::move(outcome));
}

/// Writes `wanted` to a ledger row of the same attempt, with retries: releases the key of an
/// operation that did not run, or records an answer that was returned before it was stored.
net::awaitable<void> settle_row(
    entry_context& context, worker& home, state::row_key key, state::ledger_record wanted)
{
    for (int i = 0; i < max_settle_attempts; ++i)
    {
        auto const read = co_await context.ledger.read(home, key);
        if (!std::holds_alternative<state::read_failed>(read))
        {
            state::table_write write{key, state::row_version{0}, protocol::encode(wanted)};
            if (auto const* row = std::get_if<state::table_row>(&read))
            {
                auto const record = protocol::decode_ledger_record(row->value);
                bool const same_attempt = record && record.value().attempt == wanted.attempt;
                if (!same_attempt || record.value() == wanted)
                    co_return;
                write.expect = row->version;
            }
            auto const written = co_await context.ledger.write(home, std::move(write));
            if (std::holds_alternative<state::write_done>(written))
                co_return;
        }
        co_await sleep_for(home.io(), settle_retry_delay);
    }
    log(log_event::ledger_release_failed, {{"row", key.str()}});
}

/// Runs one keyed operation through the ledger: executes the commands of `operation_run`, which
/// makes the decisions.
class keyed_operation
{
public:
    keyed_operation(caller_call& call, state::operation_request const& request)
        : call_(call)
        , request_(request)
        , row_key_(protocol::ledger_key(call.organisation.id, request.header.service, *request.key))
        , attempt_(protocol::random_hex(attempt_token_bytes))
        , fingerprint_(fingerprint_of(request))
        , state_machine_(attempt_, call.context.self.id, fingerprint_)
    {
    }

    net::awaitable<bool> run()
    {
        call_.context.tables.counters.increment(state::event_counter::ledger_operations);
        auto command = state_machine_.start();
        for (;;)
        {
            if (auto* answer = std::get_if<coordination::reply_answer>(&command))
                co_return co_await send_answer(std::move(*answer));
            if (auto const* refusal = std::get_if<coordination::reply_refusal>(&command))
                co_return co_await send_refusal(*refusal);
            auto const event = co_await execute(std::move(command));
            command = state_machine_.handle(event);
        }
    }

private:
    net::awaitable<coordination::operation_event> execute(coordination::operation_command command)
    {
        auto& ledger = call_.context.ledger;
        if (auto const* write = std::get_if<coordination::write_row>(&command))
        {
            state::table_write row{row_key_, write->expect, protocol::encode(write->record)};
            co_return event_of(co_await ledger.write(call_.home, std::move(row)));
        }
        if (std::holds_alternative<coordination::read_row>(command))
        {
            call_.context.tables.counters.increment(
                state::event_counter::ledger_writes_settled_by_read);
            co_return event_of(co_await ledger.read(call_.home, row_key_));
        }
        if (auto const* wait = std::get_if<coordination::wait>(&command))
        {
            co_await sleep_for(call_.home.io(), wait->length);
            co_return coordination::wait_elapsed{};
        }
        operation_caller caller(call_.context, call_.home, request_, call_.deadline);
        co_return event_of(co_await caller.call(false));
    }

    net::awaitable<bool> send_answer(coordination::reply_answer answer)
    {
        if (answer.replayed)
            call_.context.tables.counters.increment(state::event_counter::ledger_answers_repeated);
        if (!answer.stored)
        {
            log(log_event::ledger_answer_deferred, {{"row", row_key_.str()}});
            settle_in_background(state::ledger_answered{answer.answer});
        }
        caller_response response;
        response.status = answer.answer.status;
        response.content_type = answer.answer.content_type;
        response.body = std::move(answer.answer.body);
        response.headers = {
            {"X-Request-Id", request_.header.id.str()},
            {"Idempotency-Replayed", answer.replayed ? "true" : "false"}};
        call_.context.tables.counters.increment(state::event_counter::requests_completed);
        co_return co_await call_.writer.send(std::move(response));
    }

    net::awaitable<bool> send_refusal(coordination::reply_refusal refusal)
    {
        if (refusal.release_needed)
            settle_in_background(state::ledger_released{});
        protocol::problem p{refusal.reason, refusal.outcome, {}, request_.header.id, {}};
        bool const may_succeed_later = refusal.reason == state::refusal_reason::store_unavailable ||
                                       refusal.reason == state::refusal_reason::key_in_flight ||
                                       refusal.outcome == run_outcome::not_run;
        if (may_succeed_later && refusal.reason != state::refusal_reason::key_reused)
            p.retry_after = refusal_retry_delay;
        co_return co_await refuse(call_, std::move(p));
    }

    void settle_in_background(state::ledger_state wanted)
    {
        state::ledger_record record{
            attempt_, call_.context.self.id, fingerprint_, std::move(wanted)};
        net::co_spawn(
            call_.home.io(), settle_row(call_.context, call_.home, row_key_, std::move(record)),
            net::detached);
    }

    caller_call& call_;
    state::operation_request const& request_;
    state::row_key row_key_;
    state::attempt_token attempt_;
    state::sha256_digest fingerprint_;
    coordination::operation_run state_machine_;
};

/// Runs an operation that needs no ledger row: idempotent, or without a key.
net::awaitable<bool> run_without_ledger(
    caller_call& call, state::operation_request const& request, bool idempotent)
{
    operation_caller caller(call.context, call.home, request, call.deadline);
    auto outcome = co_await caller.call(idempotent);
    if (auto* answered = std::get_if<coordination::backend_answered>(&outcome))
    {
        caller_response response;
        response.status = answered->answer.status;
        response.content_type = answered->answer.content_type;
        response.body = std::move(answered->answer.body);
        response.headers = {{"X-Request-Id", request.header.id.str()}};
        call.context.tables.counters.increment(state::event_counter::requests_completed);
        co_return co_await call.writer.send(std::move(response));
    }
    bool const not_run = std::holds_alternative<coordination::backend_did_not_run>(outcome);
    protocol::problem p{
        not_run ? state::refusal_reason::backend_failed : state::refusal_reason::outcome_unknown,
        not_run ? run_outcome::not_run : run_outcome::outcome_unknown,
        {},
        request.header.id,
        {}};
    if (not_run)
        p.retry_after = refusal_retry_delay;
    co_return co_await refuse(call, std::move(p));
}

} // namespace

net::awaitable<bool> handle_operation(caller_call& call, protocol::operation_route route)
{
    auto const id = call.head.id.empty() ? state::request_id{protocol::random_hex(request_id_bytes)}
                                         : call.head.id;
    auto const* service = call.config->find(route.service);
    auto const* plain = service ? std::get_if<state::plain_service>(&service->kind) : nullptr;
    if (!plain || !plain->operations.contains(route.operation))
    {
        auto const reason = plain ? state::refusal_reason::unknown_operation
                                  : state::refusal_reason::unknown_service;
        protocol::problem p{reason, run_outcome::not_run, {}, id, {}};
        co_return co_await refuse(call, std::move(p));
    }
    state::operation_request request;
    request.header = {
        id, call.organisation.id, route.service, call.head.priority, call.head.timeout};
    request.operation = route.operation;
    request.key = call.head.key;
    request.body = std::move(call.body);
    request.content_type = call.head.content_type;

    coordination::admission_request admission;
    admission.organisation = call.organisation.id;
    admission.weight = call.organisation.weight;
    admission.priority = call.head.priority;
    admission.cost = state::estimated_tokens(request.body);
    admission.deadline = call.deadline;
    auto decision = co_await call.context.tables.admission.admit(
        call.home.io(), route.service, service->queue_limit, admission);
    if (auto const* r = std::get_if<coordination::refused>(&decision))
    {
        protocol::problem p{r->reason, run_outcome::not_run, {}, id, r->retry_after};
        co_return co_await refuse(call, std::move(p));
    }

    auto const active = call.context.activity.begin();
    call.context.tables.counters.increment(state::event_counter::requests_accepted);
    bool const idempotent = plain->idempotent.contains(route.operation);
    if (idempotent || !request.key)
        co_return co_await run_without_ledger(call, request, idempotent);
    keyed_operation operation(call, request);
    co_return co_await operation.run();
}

} // namespace auburnweir::transport
