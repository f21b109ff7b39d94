#include "protocol/chat_codec.hpp"
#include "protocol/digest.hpp"
#include "transport/answer_stream.hpp"
#include "transport/caller_handler.hpp"
#include "transport/chat_driver.hpp"
#include "transport/clock.hpp"
#include "transport/journal_replicator.hpp"
#include "transport/log.hpp"
#include "transport/review_store.hpp"

namespace auburnweir::transport
{

namespace
{

constexpr std::size_t request_id_bytes = 12;
constexpr state::duration store_retry_delay = std::chrono::seconds{2};
constexpr int http_accepted = 202;

state::request_id request_id_for(protocol::request_head const& head)
{
    return head.id.empty() ? state::request_id{protocol::random_hex(request_id_bytes)} : head.id;
}

coordination::admission_request admission_request_for(
    caller_call const& call, state::chat_request const& request)
{
    coordination::admission_request admission;
    admission.organisation = call.organisation.id;
    admission.weight = call.organisation.weight;
    admission.priority = request.header.priority;
    admission.cost = prompt_tokens(request) + request.max_tokens;
    admission.deadline = call.deadline;
    return admission;
}

/// Sets the fields that the body does not contain. @return a problem unless the service runs on
/// engines
std::optional<protocol::problem> complete_request(
    caller_call const& call, state::chat_request& request)
{
    auto& header = request.header;
    header.id = request_id_for(call.head);
    header.organisation = call.organisation.id;
    header.priority = call.head.priority;
    header.timeout = call.head.timeout;
    auto const* service = call.config->find(header.service);
    auto const* engine = service ? std::get_if<state::engine_service>(&service->kind) : nullptr;
    if (!engine)
        return protocol::problem{
            state::refusal_reason::unknown_service,
            state::run_outcome::not_run,
            "'model' names no engine service",
            header.id,
            {}};
    if (request.max_tokens.count() == 0)
        request.max_tokens = engine->default_max_tokens;
    return std::nullopt;
}

net::awaitable<bool> accept_review(caller_call& call, state::chat_request request)
{
    auto const id = request.header.id;
    auto const result =
        co_await store_review(call.context, call.home, request, call.organisation.id);
    if (result != store_review_result::stored)
    {
        bool const in_use = result == store_review_result::id_in_use;
        protocol::problem p{
            in_use ? state::refusal_reason::request_id_in_use
                   : state::refusal_reason::store_unavailable,
            state::run_outcome::not_run,
            {},
            id,
            {}};
        if (!in_use)
            p.retry_after = store_retry_delay;
        co_return co_await refuse(call, std::move(p));
    }
    call.context.tables.counters.increment(state::event_counter::reviews_accepted);
    log(log_event::review_accepted, {{"request", id.str()}});
    caller_response response;
    response.status = http_accepted;
    response.headers = {{"X-Request-Id", id.str()}, {"Location", "/v1/requests/" + id.str()}};
    response.body = encode_review_waiting(id);
    co_return co_await call.writer.send(std::move(response));
}

net::awaitable<bool> run_chat(caller_call& call, state::chat_request request, admission_slot slot)
{
    auto& context = call.context;
    auto const active = context.activity.begin();
    bool const streamed = request.streamed;
    auto const id = request.header.id;
    auto const journal =
        context.tables.journals.open(std::move(request), context.self.id, new_generation_tag());
    if (!journal)
    {
        protocol::problem p{
            state::refusal_reason::request_id_in_use,
            state::run_outcome::not_run,
            "fetch it at /v1/requests/" + id.str(),
            id,
            {}};
        co_return co_await refuse(call, std::move(p));
    }
    context.tables.counters.increment(state::event_counter::requests_accepted);
    journal->record_read(now());
    std::make_shared<journal_replicator>(context, call.home, journal)->start();
    auto const driver = std::make_shared<chat_driver>(context, call.home, journal, std::move(slot));
    driver->set_deadline(call.deadline);
    driver->start();
    if (streamed)
    {
        state::resume_point beginning;
        co_return co_await stream_answer(call, journal, std::move(beginning));
    }
    co_return co_await send_whole_answer(call, journal);
}

} // namespace

net::awaitable<bool> handle_chat(caller_call& call)
{
    auto decoded = protocol::decode_chat_request(call.body);
    if (!decoded)
    {
        protocol::problem p{
            state::refusal_reason::malformed_request,
            state::run_outcome::not_run,
            decoded.error().reason,
            call.head.id,
            {}};
        co_return co_await refuse(call, std::move(p));
    }
    auto request = std::move(decoded.value());
    call.body = {};
    auto problem = complete_request(call, request);
    if (problem)
        co_return co_await refuse(call, std::move(*problem));
    if (request.header.priority == state::priority::deferrable)
        co_return co_await accept_review(call, std::move(request));

    auto const* service = call.config->find(request.header.service);
    auto admission = co_await call.context.tables.admission.admit(
        call.home.io(), service->id, service->queue_limit, admission_request_for(call, request));
    if (auto const* refused = std::get_if<coordination::refused>(&admission))
    {
        protocol::problem p{
            refused->reason,
            state::run_outcome::not_run,
            {},
            request.header.id,
            refused->retry_after};
        co_return co_await refuse(call, std::move(p));
    }
    co_return co_await run_chat(
        call, std::move(request), std::move(std::get<admission_slot>(admission)));
}

} // namespace auburnweir::transport
