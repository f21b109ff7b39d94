#include "protocol/peer_message.hpp"

#include "protocol/cbor.hpp"
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
    report_response = 13
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
constexpr int read_recently_flag = 16; ///< bit added to the status of an ack

json message_array(message_kind kind)
{
    return json::array({static_cast<int>(kind)});
}

void append_chunk(json& out, state::journal_chunk const& chunk)
{
    out.push_back(chunk.first.count());
    out.push_back(chunk.finish ? static_cast<int>(*chunk.finish) : not_finished);
    out.push_back(chunk.tokens);
}

state::journal_chunk read_chunk(element_reader& in)
{
    state::journal_chunk chunk;
    chunk.first = state::sequence_number{in.unsigned_integer()};
    auto const finish = in.integer();
    require(
        finish >= not_finished && finish <= static_cast<int>(state::finish_reason::failed),
        "unknown finish reason");
    if (finish != not_finished)
        chunk.finish = static_cast<state::finish_reason>(finish);
    for (auto const& token : in.array())
    {
        require(token.is_string(), "token is not text");
        chunk.tokens.push_back(token.get<std::string>());
    }
    return chunk;
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
        lineage.push_back({std::move(tag), state::sequence_number{span.unsigned_integer()}});
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

json encode_message(journal_open const& m)
{
    auto out = message_array(message_kind::journal_open);
    out.push_back(encode_stored_chat(m.request));
    append_lineage(out, m.lineage);
    return out;
}

json encode_message(journal_batch const& m)
{
    auto out = message_array(message_kind::journal_batch);
    out.push_back(m.call_id.count());
    for (auto const& append : m.appends)
    {
        append_key(out, append.key);
        append_chunk(out, append.chunk);
    }
    return out;
}

json encode_message(journal_ack const& m)
{
    auto out = message_array(message_kind::journal_ack);
    out.push_back(m.call_id.count());
    for (auto const& ack : m.appends)
        out.push_back(static_cast<int>(ack.status) + (ack.read_recently ? read_recently_flag : 0));
    return out;
}

json encode_message(journal_read const& m)
{
    auto out = message_array(message_kind::journal_read);
    out.push_back(m.call_id.count());
    append_key(out, m.key);
    out.push_back(m.after.count());
    return out;
}

json encode_message(journal_response const& m)
{
    auto out = message_array(message_kind::journal_response);
    out.push_back(m.call_id.count());
    out.push_back(m.chunk.has_value());
    if (!m.chunk)
        return out;
    append_chunk(out, *m.chunk);
    append_lineage(out, m.lineage);
    return out;
}

json encode_message(journal_handover const& m)
{
    auto out = message_array(message_kind::journal_handover);
    out.push_back(m.owner.str());
    return out;
}

json encode_message(backend_leaving const& m)
{
    auto out = message_array(message_kind::backend_leaving);
    out.push_back(m.backend.str());
    out.push_back(m.time_left ? m.time_left->count() : -1);
    return out;
}

json encode_message(grouped_write const& m)
{
    auto out = message_array(message_kind::grouped_write);
    out.push_back(m.call_id.count());
    out.push_back(m.write.key.str());
    out.push_back(m.write.expect.count());
    out.push_back(m.write.value);
    out.push_back(m.write.erase);
    return out;
}

json encode_message(grouped_result const& m)
{
    auto out = message_array(message_kind::grouped_result);
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
            [&](state::write_response_lost const&) { put(result_kind::lost); },
            [&](state::write_refused const&) { put(result_kind::refused); }},
        m.result);
    return out;
}

json encode_message(peer_ping const& m)
{
    auto out = message_array(message_kind::peer_ping);
    out.push_back(m.call_id.count());
    return out;
}

json encode_message(peer_pong const& m)
{
    auto out = message_array(message_kind::peer_pong);
    out.push_back(m.call_id.count());
    return out;
}

json encode_message(state::instance_report const& m)
{
    auto out = message_array(message_kind::instance_report);
    append_report(out, m);
    return out;
}

json encode_message(state::report_response const& m)
{
    auto out = message_array(message_kind::report_response);
    append_report_response(out, m);
    return out;
}

state::write_result read_result(element_reader& in)
{
    switch (static_cast<result_kind>(in.integer()))
    {
    case result_kind::done:
        return state::write_done{state::row_version{in.unsigned_integer()}};
    case result_kind::conflict:
    {
        state::table_row row;
        row.key = state::row_key{in.text()};
        row.version = state::row_version{in.unsigned_integer()};
        row.value = in.text();
        return state::write_conflict{std::move(row)};
    }
    case result_kind::lost:
        return state::write_response_lost{};
    case result_kind::refused:
        return state::write_refused{};
    }
    throw malformed_message{"unknown write result"};
}

journal_open read_open(element_reader& in)
{
    auto request = decode_stored_chat(in.text());
    require(request.has_value(), "journal_open without a request");
    return {std::move(request.value()), read_lineage(in)};
}

journal_batch read_batch(element_reader& in)
{
    journal_batch batch{{}, correlation_id{in.unsigned_integer()}};
    while (!in.at_end())
    {
        auto key = read_key(in);
        batch.appends.push_back({std::move(key), read_chunk(in)});
    }
    return batch;
}

journal_ack read_ack(element_reader& in)
{
    journal_ack ack{{}, correlation_id{in.unsigned_integer()}};
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
    correlation_id const call_id{in.unsigned_integer()};
    auto key = read_key(in);
    return {std::move(key), state::sequence_number{in.unsigned_integer()}, call_id};
}

journal_response read_response(element_reader& in)
{
    journal_response response{std::nullopt, {}, correlation_id{in.unsigned_integer()}};
    if (!in.flag())
        return response;
    response.chunk = read_chunk(in);
    response.lineage = read_lineage(in);
    return response;
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
    correlation_id const call_id{in.unsigned_integer()};
    state::table_write write;
    write.key = state::row_key{in.text()};
    write.expect = state::row_version{in.unsigned_integer()};
    write.value = in.text();
    write.erase = in.flag();
    return {std::move(write), call_id};
}

peer_message decode_message(json const& message)
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
        return read_response(in);
    case message_kind::journal_handover:
        return journal_handover{state::instance_id{in.text()}};
    case message_kind::backend_leaving:
        return read_leaving(in);
    case message_kind::grouped_write:
        return read_grouped_write(in);
    case message_kind::grouped_result:
    {
        correlation_id const call_id{in.unsigned_integer()};
        return grouped_result{read_result(in), call_id};
    }
    case message_kind::peer_ping:
        return peer_ping{correlation_id{in.unsigned_integer()}};
    case message_kind::peer_pong:
        return peer_pong{correlation_id{in.unsigned_integer()}};
    case message_kind::instance_report:
        return read_report(in);
    case message_kind::report_response:
        return read_report_response(in);
    }
    throw malformed_message{"unknown message kind"};
}

} // namespace

std::string encode_frame(std::vector<peer_message> const& messages)
{
    auto list = json::array();
    for (auto const& m : messages)
        list.push_back(std::visit([](auto const& message) { return encode_message(message); }, m));
    std::string frame;
    json::to_cbor(list, frame);
    return frame;
}

decoded<std::vector<peer_message>> decode_frame(std::string_view frame)
{
    auto const list = parse_cbor(frame);
    if (!list || !list->is_array())
        return decode_error{"frame is not a CBOR array"};
    try
    {
        std::vector<peer_message> messages;
        for (auto const& m : *list)
            messages.push_back(decode_message(m));
        return messages;
    }
    catch (malformed_message const& error)
    {
        return decode_error{error.reason};
    }
}

} // namespace auburnweir::protocol
