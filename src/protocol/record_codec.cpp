#include "protocol/record_codec.hpp"

#include "protocol/json.hpp"
#include "state/overloaded.hpp"

namespace auburnweir::protocol
{

namespace
{

using nlohmann::json;

std::int64_t milliseconds(state::wall_time t)
{
    return t.time_since_epoch().count();
}

state::wall_time wall_time_of(std::int64_t ms)
{
    return state::wall_time{std::chrono::milliseconds{ms}};
}

json encode_answer(state::operation_answer const& a)
{
    return {{"status", a.status}, {"type", a.content_type}, {"body", a.body}};
}

state::operation_answer decode_answer(json const& j)
{
    return {static_cast<int>(integer_at(j, "status")), text_at(j, "type"), text_at(j, "body")};
}

} // namespace

std::string encode(state::ledger_record const& record)
{
    json row{
        {"attempt", record.attempt.str()},
        {"owner", record.owner.str()},
        {"fingerprint", record.fingerprint.str()}};
    std::visit(
        state::overloaded{
            [&](state::ledger_dispatched const&) { row["state"] = "dispatched"; },
            [&](state::ledger_unknown const&) { row["state"] = "unknown"; },
            [&](state::ledger_released const&) { row["state"] = "released"; },
            [&](state::ledger_answered const& a)
            {
                row["state"] = "answered";
                row["answer"] = encode_answer(a.answer);
            }},
        record.state);
    return dump(row);
}

decoded<state::ledger_record> decode_ledger_record(std::string_view text)
{
    auto const row = parse_json(text);
    if (!row || !row->is_object())
        return decode_error{"ledger row is not a JSON object"};
    state::ledger_record record;
    record.attempt = state::attempt_token{text_at(*row, "attempt")};
    record.owner = state::instance_id{text_at(*row, "owner")};
    record.fingerprint = state::sha256_digest{text_at(*row, "fingerprint")};
    auto const name = text_at(*row, "state");
    if (name == "dispatched")
        record.state = state::ledger_dispatched{};
    else if (name == "unknown")
        record.state = state::ledger_unknown{};
    else if (name == "released")
        record.state = state::ledger_released{};
    else if (name == "answered" && row->contains("answer"))
        record.state = state::ledger_answered{decode_answer((*row)["answer"])};
    else
        return decode_error{"ledger row has an unknown state"};
    return record;
}

std::string encode(state::review_record const& record)
{
    json row{{"id", record.id.str()},           {"organisation", record.organisation.str()},
             {"service", record.service.str()}, {"accepted", milliseconds(record.accepted_at)},
             {"body", record.body_object},      {"fencing", record.fencing.count()}};
    std::visit(
        state::overloaded{
            [&](state::review_waiting const&) { row["state"] = "waiting"; },
            [&](state::review_claimed const& c)
            {
                row["state"] = "claimed";
                row["holder"] = c.holder.str();
                row["until"] = milliseconds(c.until);
            },
            [&](state::review_done const& d)
            {
                row["state"] = "done";
                row["answer"] = d.answer_object;
            }},
        record.state);
    return dump(row);
}

decoded<state::review_record> decode_review_record(std::string_view text)
{
    auto const row = parse_json(text);
    if (!row || !row->is_object())
        return decode_error{"review row is not a JSON object"};
    state::review_record record;
    record.id = state::request_id{text_at(*row, "id")};
    record.organisation = state::organisation_id{text_at(*row, "organisation")};
    record.service = state::service_id{text_at(*row, "service")};
    record.accepted_at = wall_time_of(integer_at(*row, "accepted"));
    record.body_object = text_at(*row, "body");
    record.fencing = state::fencing_number{static_cast<std::uint64_t>(integer_at(*row, "fencing"))};
    auto const name = text_at(*row, "state");
    if (name == "waiting")
        record.state = state::review_waiting{};
    else if (name == "claimed")
        record.state = state::review_claimed{
            state::instance_id{text_at(*row, "holder")}, wall_time_of(integer_at(*row, "until"))};
    else if (name == "done")
        record.state = state::review_done{text_at(*row, "answer")};
    else
        return decode_error{"review row has an unknown state"};
    return record;
}

state::row_key ledger_key(
    state::organisation_id const& organisation, state::service_id const& service,
    state::idempotency_key const& key)
{
    return state::row_key{"ledger/" + organisation.str() + "/" + service.str() + "/" + key.str()};
}

state::row_key review_done_key(
    state::organisation_id const& organisation, state::request_id const& id)
{
    return state::row_key{"review-done/" + organisation.str() + "/" + id.str()};
}

state::row_key review_key(state::organisation_id const& organisation, state::request_id const& id)
{
    return state::row_key{std::string{review_key_prefix} + organisation.str() + "/" + id.str()};
}

} // namespace auburnweir::protocol
