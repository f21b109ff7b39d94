#include "protocol/peer_message.hpp"

#include "protocol/chat_codec.hpp"
#include "protocol/element_reader.hpp"
#include "protocol/instance_report_codec.hpp"
#include "protocol/json.hpp"
#include "state/overloaded.hpp"

namespace auburnweir::protocol
{

namespace
{

using nlohmann::json;

/// First element of each message array.
enum class message_kind : int
{
    journal_open = 1,
    journal_batch = 2,
    journal_ack = 3,
    journal_read = 4,
    journal_response = 5,
    journal_handover = 6,
    backend_leaving = 7,
    grouped_write = 8,
    grouped_result = 9,
    peer_ping = 10,
    peer_pong = 11,
    instance_report = 12,
    deployment_view = 13
};

/// Second element of an encoded write result.
enum class result_kind : int
{
    done = 0,
    conflict = 1,
    lost = 2,
    refused = 3
};

constexpr int not_finished = -1;
constexpr int read_recently_flag = 16; ///< added to an ack's status

json array_of(message_kind kind)
{
    return json::array({static_cast<int>(kind)});
}

void append_part(json& out, state::journal_part const& part)
{
    out.push_back(part.first.count());
    out.push_back(part.finish ? static_cast<int>(*part.finish) : not_finished);
    out.push_back(part.tokens);
}

state::journal_part read_part(element_reader& in)
{
    state::journal_part part;
    part.first = state::sequence_number{in.number()};
    auto const finish = in.integer();
    require(
        finish >= not_finished && finish <= static_cast<int>(state::finish_reason::failed),
        "unknown finish reason");
    if (finish != not_finished)
        part.finish = static_cast<state::finish_reason>(finish);
    for (auto const& token : in.array())
    {
        require(token.is_string(), "token is not text");
        part.tokens.push_back(token.get<std::string>());
    }
    return part;
}

void append_lineage(json& out, state::generation_lineage const& lineage)
{
    auto list = json::array();
    for (auto const& span : lineage)
        list.push_back({span.tag.str(), span.upto.count()});
    out.push_back(std::move(list));
}

state::generation_lineage read_lineage(element_reader& in)
{
    state::generation_lineage lineage;
    for (auto const& e : in.array())
    {
        element_reader span(e);
        state::generation_tag tag{span.text()};
        lineage.push_back({std::move(tag), state::sequence_number{span.number()}});
    }
    require(!lineage.empty(), "journal without a generation");
    return lineage;
}

void append_key(json& out, journal_key const& key)
{
    out.push_back(key.organisation.str());
    out.push_back(key.id.str());
}

journal_key read_key(element_reader& in)
{
    auto organisation = in.text();
    return {state::organisation_id{std::move(organisation)}, state::request_id{in.text()}};
}

json encode_one(journal_open const& m)
{
    auto out = array_of(message_kind::journal_open);
    out.push_back(encode_stored_chat(m.request));
    append_lineage(out, m.lineage);
    return out;
}

json encode_one(journal_batch const& m)
{
    auto out = array_of(message_kind::journal_batch);
    out.push_back(m.call_id.count());
    for (auto const& append : m.appends)
    {
        append_key(out, append.key);
        append_part(out, append.chunk);
    }
    return out;
}

json encode_one(journal_ack const& m)
{
    auto out = array_of(message_kind::journal_ack);
    out.push_back(m.call_id.count());
    for (auto const& ack : m.appends)
        out.push_back(static_cast<int>(ack.status) + (ack.read_recently ? read_recently_flag : 0));
    return out;
}

json encode_one(journal_read const& m)
{
    auto out = array_of(message_kind::journal_read);
    out.push_back(m.call_id.count());
    append_key(out, m.key);
    out.push_back(m.after.count());
    return out;
}

json encode_one(journal_response const& m)
{
    auto out = array_of(message_kind::journal_response);
    out.push_back(m.call_id.count());
    out.push_back(m.chunk.has_value());
    if (!m.chunk)
        return out;
    append_part(out, *m.chunk);
    append_lineage(out, m.lineage);
    return out;
}

json encode_one(journal_handover const& m)
{
    auto out = array_of(message_kind::journal_handover);
    out.push_back(m.owner.str());
    return out;
}

json encode_one(backend_leaving const& m)
{
    auto out = array_of(message_kind::backend_leaving);
    out.push_back(m.backend.str());
    out.push_back(m.time_left ? m.time_left->count() : -1);
    return out;
}

json encode_one(grouped_write const& m)
{
    auto out = array_of(message_kind::grouped_write);
    out.push_back(m.call_id.count());
    out.push_back(m.write.key.str());
    out.push_back(m.write.expect.count());
    out.push_back(m.write.value);
    out.push_back(m.write.erase);
    return out;
}

json encode_one(grouped_result const& m)
{
    auto out = array_of(message_kind::grouped_result);
    out.push_back(m.call_id.count());
    auto const put = [&](result_kind kind) { out.push_back(static_cast<int>(kind)); };
    std::visit(
        state::overloaded{
            [&](state::write_done const& r)
            {
                put(result_kind::done);
                out.push_back(r.version.count());
            },
            [&](state::write_conflict const& r)
            {
                put(result_kind::conflict);
                out.push_back(r.current.key.str());
                out.push_back(r.current.version.count());
                out.push_back(r.current.value);
            },
            [&](state::write_lost const&) { put(result_kind::lost); },
            [&](state::write_refused const&) { put(result_kind::refused); }},
        m.result);
    return out;
}

json encode_one(peer_ping const& m)
{
    auto out = array_of(message_kind::peer_ping);
    out.push_back(m.call_id.count());
    return out;
}

json encode_one(peer_pong const& m)
{
    auto out = array_of(message_kind::peer_pong);
    out.push_back(m.call_id.count());
    return out;
}

json encode_one(state::instance_report const& m)
{
    auto out = array_of(message_kind::instance_report);
    append_report(out, m);
    return out;
}

json encode_one(state::deployment_view const& m)
{
    auto out = array_of(message_kind::deployment_view);
    append_view(out, m);
    return out;
}

state::write_result read_result(element_reader& in)
{
    switch (static_cast<result_kind>(in.integer()))
    {
    case result_kind::done:
        return state::write_done{state::row_version{in.number()}};
    case result_kind::conflict:
    {
        state::table_row row;
        row.key = state::row_key{in.text()};
        row.version = state::row_version{in.number()};
        row.value = in.text();
        return state::write_conflict{std::move(row)};
    }
    case result_kind::lost:
        return state::write_lost{};
    case result_kind::refused:
        return state::write_refused{};
    }
    throw malformed{"unknown write result"};
}

journal_open read_open(element_reader& in)
{
    auto request = decode_stored_chat(in.text());
    require(request.has_value(), "journal_open without a request");
    return {std::move(request.value()), read_lineage(in)};
}

journal_batch read_batch(element_reader& in)
{
    journal_batch batch{{}, correlation_id{in.number()}};
    while (!in.at_end())
    {
        auto key = read_key(in);
        batch.appends.push_back({std::move(key), read_part(in)});
    }
    return batch;
}

journal_ack read_ack(element_reader& in)
{
    journal_ack ack{{}, correlation_id{in.number()}};
    while (!in.at_end())
    {
        auto const value = in.integer();
        auto const status = value % read_recently_flag;
        require(
            value >= 0 && status <= static_cast<int>(ack_status::superseded), "unknown ack status");
        ack.appends.push_back({static_cast<ack_status>(status), value >= read_recently_flag});
    }
    return ack;
}

journal_read read_read(element_reader& in)
{
    correlation_id const number{in.number()};
    auto key = read_key(in);
    return {std::move(key), state::sequence_number{in.number()}, number};
}

journal_response read_reply(element_reader& in)
{
    journal_response reply{std::nullopt, {}, correlation_id{in.number()}};
    if (!in.flag())
        return reply;
    reply.chunk = read_part(in);
    reply.lineage = read_lineage(in);
    return reply;
}

backend_leaving read_leaving(element_reader& in)
{
    backend_leaving message{state::backend_id{in.text()}, std::nullopt};
    auto const left = in.integer();
    if (left >= 0)
        message.time_left = state::duration{left};
    return message;
}

grouped_write read_grouped_write(element_reader& in)
{
    correlation_id const number{in.number()};
    state::table_write write;
    write.key = state::row_key{in.text()};
    write.expect = state::row_version{in.number()};
    write.value = in.text();
    write.erase = in.flag();
    return {std::move(write), number};
}

peer_message decode_one(json const& message)
{
    element_reader in(message);
    switch (static_cast<message_kind>(in.integer()))
    {
    case message_kind::journal_open:
        return read_open(in);
    case message_kind::journal_batch:
        return read_batch(in);
    case message_kind::journal_ack:
        return read_ack(in);
    case message_kind::journal_read:
        return read_read(in);
    case message_kind::journal_response:
        return read_reply(in);
    case message_kind::journal_handover:
        return journal_handover{state::instance_id{in.text()}};
    case message_kind::backend_leaving:
        return read_leaving(in);
    case message_kind::grouped_write:
        return read_grouped_write(in);
    case message_kind::grouped_result:
    {
        correlation_id const number{in.number()};
        return grouped_result{read_result(in), number};
    }
    case message_kind::peer_ping:
        return peer_ping{correlation_id{in.number()}};
    case message_kind::peer_pong:
        return peer_pong{correlation_id{in.number()}};
    case message_kind::instance_report:
        return read_report(in);
    case message_kind::deployment_view:
        return read_view(in);
    }
    throw malformed{"unknown message kind"};
}

} // namespace

std::string encode_frame(std::vector<peer_message> const& messages)
{
    auto list = json::array();
    for (auto const& m : messages)
        list.push_back(std::visit([](auto const& one) { return encode_one(one); }, m));
    std::string frame;
    json::to_cbor(list, frame);
    return frame;
}

decoded<std::vector<peer_message>> decode_frame(std::string_view frame)
{
    auto const list = json::from_cbor(frame.begin(), frame.end(), true, false);
    if (!list.is_array())
        return decode_error{"frame is not a CBOR array"};
    try
    {
        std::vector<peer_message> messages;
        for (auto const& m : list)
            messages.push_back(decode_one(m));
        return messages;
    }
    catch (malformed const& fault)
    {
        return decode_error{fault.reason};
    }
}

} // namespace auburnweir::protocol
