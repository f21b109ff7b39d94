#include "transport/review_store.hpp"

#include "protocol/chat_codec.hpp"
#include "protocol/digest.hpp"
#include "protocol/json.hpp"
#include "protocol/record_codec.hpp"
#include "transport/clock.hpp"

namespace auburnweir::transport
{

namespace
{

constexpr int max_store_attempts = 3;
constexpr std::size_t object_suffix_bytes = 8;

state::review_record new_record(
    state::chat_request const& request, state::organisation_id const& organisation)
{
    state::review_record record;
    record.id = request.header.id;
    record.organisation = organisation;
    record.service = request.header.service;
    record.accepted_at = wall_now();
    record.body_object = "reviews/" + organisation.str() + "/" + request.header.id.str() + "/" +
                         protocol::random_hex(object_suffix_bytes);
    record.state = state::review_waiting{};
    return record;
}

bool same_review(state::table_row const& row, state::review_record const& record)
{
    auto const stored = protocol::decode_review_record(row.value);
    return stored && stored.value().body_object == record.body_object;
}

} // namespace

std::string encode_review_waiting(state::request_id const& id)
{
    return protocol::dump({{"id", id.str()}, {"status", "waiting"}});
}

net::awaitable<store_review_result> store_review(
    entry_context& context, worker& home, state::chat_request request,
    state::organisation_id organisation)
{
    auto const record = new_record(request, organisation);
    auto platform = context.platform(home);
    bool const body_stored =
        co_await platform.put_object(record.body_object, protocol::encode_stored_chat(request));
    if (!body_stored)
        co_return store_review_result::failed;
    auto const done_key = protocol::review_done_key(organisation, record.id);
    auto const finished = co_await context.ledger.read(home, done_key);
    if (std::holds_alternative<state::table_row>(finished))
        co_return store_review_result::id_in_use;
    auto const key = protocol::review_key(organisation, record.id);
    for (int i = 0; i < max_store_attempts; ++i)
    {
        state::table_write insert{key, state::row_version{0}, protocol::encode(record)};
        auto const written = co_await context.ledger.write(home, std::move(insert));
        if (std::holds_alternative<state::write_done>(written))
            co_return store_review_result::stored;
        if (auto const* conflict = std::get_if<state::write_conflict>(&written))
            co_return same_review(conflict->current, record) ? store_review_result::stored
                                                             : store_review_result::id_in_use;
    }
    co_return store_review_result::failed;
}

net::awaitable<review_lookup> find_review(
    entry_context& context, worker& home, state::organisation_id organisation, state::request_id id)
{
    auto const unfinished =
        co_await context.ledger.read(home, protocol::review_key(organisation, id));
    if (std::holds_alternative<state::table_row>(unfinished))
        co_return review_pending{};
    auto const done =
        co_await context.ledger.read(home, protocol::review_done_key(organisation, id));
    auto const* row = std::get_if<state::table_row>(&done);
    bool const absent = std::holds_alternative<state::row_absent>(unfinished) &&
                        std::holds_alternative<state::row_absent>(done);
    if (absent)
        co_return review_absent{};
    if (!row)
        co_return review_unreadable{};
    auto const record = protocol::decode_review_record(row->value);
    auto const* finished =
        record ? std::get_if<state::review_done>(&record.value().state) : nullptr;
    if (!finished)
        co_return review_unreadable{};
    auto platform = context.platform(home);
    auto body = co_await platform.read_object(finished->answer_object);
    if (!body)
        co_return review_unreadable{};
    co_return review_answer{std::move(*body)};
}

net::awaitable<bool> finish_review(
    entry_context& context, worker& home, state::row_version expected_version,
    state::review_record done)
{
    std::vector<state::table_write> writes{
        {protocol::review_key(done.organisation, done.id), expected_version, {}, true},
        {protocol::review_done_key(done.organisation, done.id), state::row_version{0},
         protocol::encode(done)}};
    auto platform = context.platform(home);
    context.tables.counters.increment(state::event_counter::ledger_writes);
    auto const results = co_await platform.transact(std::move(writes));
    co_return std::holds_alternative<state::write_done>(results.front());
}

} // namespace auburnweir::transport
