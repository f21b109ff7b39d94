#include "coordination/journal_placement.hpp"
#include "state/overloaded.hpp"
#include "transport/answer_stream.hpp"
#include "transport/caller_handler.hpp"
#include "transport/clock.hpp"
#include "transport/review_store.hpp"

namespace auburnweir::transport
{

namespace
{

constexpr state::duration read_timeout = std::chrono::milliseconds{500};
constexpr state::duration follow_poll_interval = std::chrono::milliseconds{30};
constexpr state::duration review_retry_delay = std::chrono::seconds{2};
constexpr int max_failed_reads = 100;
constexpr int http_accepted = 202;

protocol::problem problem_for(
    state::refusal_reason reason, state::request_id const& id, std::string detail)
{
    return {reason, state::run_outcome::outcome_unknown, std::move(detail), id, {}};
}

net::awaitable<std::optional<protocol::journal_response>> read_from_peer(
    caller_call& call, state::instance peer, state::request_id id, state::sequence_number after)
{
    protocol::journal_key const key{call.organisation.id, id};
    auto const make = [&](protocol::correlation_id number) {
        return protocol::peer_message{protocol::journal_read{key, after, number}};
    };
    auto const message = co_await call.context.peers.call(call.home.io(), peer, make, read_timeout);
    auto const* response = message ? std::get_if<protocol::journal_response>(&*message) : nullptr;
    if (!response || !response->chunk)
        co_return std::nullopt;
    co_return *response;
}

/// Copies a peer's journal to `copy` as it grows, until the answer ends or the reader leaves.
net::awaitable<void> mirror_peer_journal(
    std::shared_ptr<caller_call> call, state::instance peer, state::journal_ptr copy,
    std::shared_ptr<bool> has_reader)
{
    int failed_reads = 0;
    while (*has_reader && !copy->finished() && failed_reads < max_failed_reads)
    {
        auto const id = copy->request().header.id;
        auto const response = co_await read_from_peer(*call, peer, id, copy->last());
        failed_reads = response ? 0 : failed_reads + 1;
        if (response)
            copy->replace_lineage(response->lineage);
        auto const merged =
            response ? copy->merge(*response->chunk) : state::append_result::duplicate;
        if (merged == state::append_result::diverged)
            copy->fail(state::refusal_reason::resume_point_unknown);
        if (merged != state::append_result::appended)
            co_await sleep_for(call->home.io(), follow_poll_interval);
    }
    copy->fail(state::refusal_reason::resume_point_unknown);
}

net::awaitable<bool> send_answer(caller_call& call, state::journal_ptr journal)
{
    auto const& id = journal->request().header.id;
    if (!journal->can_resume(call.head.resume))
    {
        auto p = problem_for(
            state::refusal_reason::resume_point_unknown, id, "fetch the answer from its beginning");
        co_return co_await refuse(call, std::move(p));
    }
    if (call.accepts_event_stream)
        co_return co_await stream_answer(call, journal, call.head.resume);
    co_return co_await send_whole_answer(call, journal);
}

net::awaitable<bool> send_from_peer(
    caller_call& call, state::instance peer, protocol::journal_response first, state::request_id id)
{
    state::chat_request request;
    request.header.id = id;
    request.header.organisation = call.organisation.id;
    auto const copy =
        std::make_shared<state::journal>(std::move(request), peer.id, first.lineage.front().tag);
    copy->replace_lineage(first.lineage);
    copy->merge(*first.chunk);
    auto const has_reader = std::make_shared<bool>(true);
    auto const shared = std::make_shared<caller_call>(call);
    net::co_spawn(
        call.home.io(), mirror_peer_journal(shared, peer, copy, has_reader), net::detached);
    bool const sent = co_await send_answer(call, copy);
    *has_reader = false;
    co_return sent;
}

net::awaitable<bool> send_review(caller_call& call, state::request_id id)
{
    auto const review = co_await find_review(call.context, call.home, call.organisation.id, id);
    if (auto const* answer = std::get_if<review_answer>(&review))
    {
        caller_response response;
        response.headers = {{"X-Request-Id", id.str()}};
        response.body = answer->body;
        co_return co_await call.writer.send(std::move(response));
    }
    if (std::holds_alternative<review_pending>(review))
    {
        caller_response response;
        response.status = http_accepted;
        response.headers = {
            {"X-Request-Id", id.str()},
            {"Retry-After", protocol::retry_after_seconds(review_retry_delay)}};
        response.body = encode_review_waiting(id);
        co_return co_await call.writer.send(std::move(response));
    }
    bool const absent = std::holds_alternative<review_absent>(review);
    auto p = problem_for(
        absent ? state::refusal_reason::unknown_request : state::refusal_reason::store_unavailable,
        id, {});
    if (!absent)
        p.retry_after = review_retry_delay;
    co_return co_await refuse(call, std::move(p));
}

} // namespace

net::awaitable<bool> handle_answer(caller_call& call, protocol::answer_route route)
{
    auto const active = call.context.activity.begin();
    auto const local = call.context.tables.journals.find(call.organisation.id, route.id);
    if (local)
        co_return co_await send_answer(call, local);
    auto const order = coordination::lookup_order(route.id, call.context.tables.instances.live());
    for (auto const& peer : order)
    {
        if (peer.id == call.context.self.id)
            continue;
        auto const first = co_await read_from_peer(call, peer, route.id, {});
        if (first)
            co_return co_await send_from_peer(call, peer, *first, route.id);
    }
    co_return co_await send_review(call, route.id);
}

} // namespace auburnweir::transport
