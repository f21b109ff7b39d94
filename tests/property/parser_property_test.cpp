#include "protocol/chat_codec.hpp"
#include "protocol/engine_codec.hpp"
#include "protocol/ini_document.hpp"
#include "protocol/peer_handshake.hpp"
#include "protocol/peer_message.hpp"
#include "protocol/platform_codec.hpp"
#include "protocol/quarantine_record_codec.hpp"
#include "protocol/record_codec.hpp"
#include "protocol/request_head.hpp"
#include "protocol/service_text.hpp"
#include "protocol/sse.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

/// Parsers run on arbitrary bytes and on valid messages with some bytes changed. They decode or
/// reject each input, and a decoded message survives a round trip.

namespace auburnweir::protocol
{
namespace
{

std::string mutated(std::string text)
{
    auto const changes = *rc::gen::inRange(0, 6);
    for (int i = 0; i < changes && !text.empty(); ++i)
    {
        auto const at = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 3))
        {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(at, 1);
            break;
        default:
            text.insert(at, 1, *rc::gen::arbitrary<char>());
        }
    }
    return text;
}

std::string arbitrary_bytes()
{
    return *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

state::acknowledged_state arbitrary_acknowledged()
{
    return {
        state::window_number{*rc::gen::arbitrary<std::int64_t>()},
        state::configuration_version{*rc::gen::arbitrary<std::uint64_t>()}};
}

state::instance_report arbitrary_report()
{
    state::instance_report report;
    report.id = state::instance_id{"i"};
    if (*rc::gen::arbitrary<bool>())
        report.details.emplace();
    if (report.details && *rc::gen::arbitrary<bool>())
        report.details->requests = *rc::gen::arbitrary<std::uint32_t>();
    auto& segments = report.segments;
    auto const count = *rc::gen::inRange(0, 5);
    for (int i = 0; i < count; ++i)
    {
        state::segment_hash const segment{*rc::gen::arbitrary<std::uint64_t>()};
        segments.crashes.push_back(
            {state::server_process_hash{7}, {segment, segment}, state::duration{i}});
        segments.answers.push_back({segment, state::duration{i}});
        segments.verdicts.push_back(
            {segment, 3, i % 2 == 0, state::duration{i}, state::suspect_group{5}, {true, 6, 2, 1}});
        segments.wanted_trials.push_back({state::suspect_group{4}, static_cast<std::uint64_t>(i)});
    }
    segments.digest = state::verdicts_digest{*rc::gen::arbitrary<std::uint64_t>()};
    report.acknowledged = arbitrary_acknowledged();
    if (*rc::gen::arbitrary<bool>())
        report.ratings = state::rating_version{*rc::gen::arbitrary<std::uint32_t>()};
    auto const seen = *rc::gen::inRange(0, 3);
    for (int i = 0; i < seen; ++i)
    {
        auto& o = report.observations.emplace_back();
        o.id = state::backend_id{"b"};
        o.incarnation = state::incarnation_number{*rc::gen::arbitrary<std::uint64_t>()};
        o.intervals = {*rc::gen::arbitrary<std::uint64_t>(), state::duration{i}};
        if (*rc::gen::arbitrary<bool>())
        {
            o.load = state::server_load{1, i, 8, std::nullopt};
            o.load_age = state::duration{7};
        }
        if (o.load && *rc::gen::arbitrary<bool>())
            o.load->work = state::work_factor{250};
    }
    return report;
}

state::report_response arbitrary_report_response()
{
    state::report_response response;
    if (*rc::gen::arbitrary<bool>())
        response.wall_offset = std::chrono::milliseconds{-5};
    if (*rc::gen::arbitrary<bool>())
        response.operator_rows = {
            {state::store_era{*rc::gen::arbitrary<std::uint64_t>()}, state::row_version{70}},
            state::duration{5},
            arbitrary_acknowledged()};
    auto& segments = response.segments;
    segments.suspects.assign(
        *rc::gen::inRange<std::size_t>(0, 5),
        state::segment_hash{*rc::gen::arbitrary<std::uint64_t>()});
    segments.digest = state::verdicts_digest{*rc::gen::arbitrary<std::uint64_t>()};
    if (*rc::gen::arbitrary<bool>())
        segments.verdicts.push_back(
            {state::segment_hash{9}, 1, true, state::duration{4}, state::suspect_group{8}, {}});
    if (*rc::gen::arbitrary<bool>())
        segments.granted_trials.push_back({state::suspect_group{8}, 2});
    if (*rc::gen::arbitrary<bool>())
        response.shares.emplace().by_domain[state::failure_domain_id{"d"}] = 0.25;
    if (*rc::gen::arbitrary<bool>())
        response.ratings = {
            state::rating_version{*rc::gen::arbitrary<std::uint32_t>()},
            {{state::backend_id{"b"}, state::incarnation_number{3}, state::duration{20000}, 4,
              state::duration{*rc::gen::inRange(0, 100)}}}};
    return response;
}

peer_message arbitrary_peer_message()
{
    journal_key const key{state::organisation_id{"o"}, state::request_id{"r"}};
    state::journal_chunk const chunk{
        state::sequence_number{3},
        *rc::gen::container<std::vector<std::string>>(rc::gen::string<std::string>()),
        state::finish_reason::stop};
    correlation_id const call_id{*rc::gen::arbitrary<std::uint32_t>()};
    switch (*rc::gen::inRange(0, 8))
    {
    case 6:
        return arbitrary_report();
    case 7:
        return arbitrary_report_response();
    case 0:
        return journal_batch{{{key, chunk}, {key, chunk}}, call_id};
    case 1:
        return journal_ack{{{ack_status::superseded, true}, {}}, call_id};
    case 2:
        return journal_response{chunk, {{state::generation_tag{"g"}, state::open_end}}, call_id};
    case 3:
        return backend_leaving{state::backend_id{"b"}, state::duration{5}};
    case 4:
        return grouped_write{{state::row_key{"k"}, state::row_version{4}, "v", false}, call_id};
    default:
        return grouped_result{
            state::write_conflict{{state::row_key{"k"}, state::row_version{4}, "v"}}, call_id};
    }
}

RC_GTEST_PROP(parser_property, peer_frame_survives_a_round_trip, ())
{
    std::vector<peer_message> const messages{arbitrary_peer_message(), arbitrary_peer_message()};
    auto const frame = encode_frame(messages);
    auto const decoded = decode_frame(frame);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(encode_frame(decoded.value()) == frame);
}

RC_GTEST_PROP(parser_property, report_and_its_response_survive_a_round_trip, ())
{
    auto const report = arbitrary_report();
    auto const response = arbitrary_report_response();
    auto const decoded = decode_frame(encode_frame({report, response}));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(std::get<state::instance_report>(decoded.value().at(0)) == report);
    RC_ASSERT(std::get<state::report_response>(decoded.value().at(1)) == response);
}

RC_GTEST_PROP(parser_property, stored_quarantine_survives_a_round_trip_and_mutations, ())
{
    state::quarantine_record record;
    record.saved_at = state::wall_time{std::chrono::milliseconds{*rc::gen::inRange(0, 1 << 30)}};
    auto const count = *rc::gen::inRange(0, 5);
    for (int i = 0; i < count; ++i)
    {
        record.evidence.verdicts.push_back(
            {state::segment_hash{*rc::gen::arbitrary<std::uint64_t>()},
             3,
             i % 2 == 0,
             state::duration{i},
             state::suspect_group{*rc::gen::arbitrary<std::uint64_t>()},
             {false, 7, 1, 2}});
        record.evidence.crashes.push_back(
            {state::server_process_hash{*rc::gen::arbitrary<std::uint64_t>()},
             {state::segment_hash{*rc::gen::arbitrary<std::uint64_t>()}},
             state::duration{i}});
        record.evidence.answers.push_back(
            {state::segment_hash{*rc::gen::arbitrary<std::uint64_t>()}, state::duration{i}});
    }
    auto text = encode_quarantine_record(record);
    RC_ASSERT(decode_quarantine_record(text) == record);
    text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    decode_quarantine_record(text);
    decode_quarantine_record(text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size())));
}

RC_GTEST_PROP(parser_property, mutated_peer_frame_is_decoded_or_rejected, ())
{
    auto const decoded = decode_frame(mutated(encode_frame({arbitrary_peer_message()})));
    if (decoded)
        RC_ASSERT(decode_frame(encode_frame(decoded.value())).has_value());
}

RC_GTEST_PROP(parser_property, arbitrary_bytes_are_decoded_or_rejected, ())
{
    auto const text = arbitrary_bytes();
    (void)decode_frame(text);
    (void)decode_chat_request(text);
    (void)decode_stored_chat(text);
    (void)decode_engine_event(text);
    (void)decode_load_header(text);
    (void)decode_engine_status(text);
    (void)decode_ledger_record(text);
    (void)decode_review_record(text);
    (void)decode_instances(text);
    (void)decode_rows(text);
    (void)decode_resume_point(text);
    (void)route_of("GET", text);
    (void)route_of("POST", text);
    (void)url_decoded(text);
    peer_handshake handshake(
        peer_handshake::role::accepting, state::instance_id{"a"}, "key", "nonce");
    RC_ASSERT(!std::holds_alternative<handshake_done>(handshake.receive(text)));
}

RC_GTEST_PROP(parser_property, mutated_chat_body_is_decoded_or_rejected, ())
{
    auto const body = mutated(
        R"({"model":"m","stream":true,"max_tokens":5,"messages":[{"role":"u","content":"c"}]})");
    auto const decoded = decode_chat_request(body);
    if (!decoded)
        RC_ASSERT(!decoded.error().reason.empty());
    else
        RC_ASSERT(!decoded.value().messages.empty());
}

RC_GTEST_PROP(parser_property, mutated_service_text_yields_a_configuration_or_findings, ())
{
    auto const text = mutated(
        "[organisation o]\nbearer_sha256 = " + std::string(64, 'a') +
        "\n[failure_domain d]\nregion = r\n[service s]\nkind = engine\n"
        "[backend b]\nservice = s\nfailure_domain = d\naddress = 127.0.0.1:80\n");
    state::findings found;
    auto const config = read_service_text(text, "f", found);
    RC_ASSERT((config != nullptr) == found.empty());
}

RC_GTEST_PROP(parser_property, event_stream_split_at_any_byte_yields_all_events, ())
{
    std::string stream;
    auto const data = *rc::gen::container<std::vector<std::string>>(
        rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange('a', 'z'))));
    for (auto const& d : data)
        append_sse_event(stream, "1", d);
    sse_parser parser;
    std::vector<std::string> events;
    while (!stream.empty())
    {
        auto const size = *rc::gen::inRange<std::size_t>(1, stream.size() + 1);
        RC_ASSERT(parser.feed(stream.substr(0, size)));
        stream.erase(0, size);
        while (auto const event = parser.next())
            events.emplace_back(*event);
    }
    RC_ASSERT(events == data);
}

RC_GTEST_PROP(parser_property, url_encoded_text_survives_a_round_trip, ())
{
    auto const text = arbitrary_bytes();
    RC_ASSERT(url_decoded(url_encoded(text)) == text);
}

} // namespace
} // namespace auburnweir::protocol
