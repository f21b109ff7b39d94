#include "protocol/cbor.hpp"
#include "protocol/chat_codec.hpp"
#include "protocol/duty_record_codec.hpp"
#include "protocol/entry_settings.hpp"
#include "protocol/gateway_settings.hpp"
#include "protocol/ini_document.hpp"
#include "protocol/peer_handshake.hpp"
#include "protocol/peer_message.hpp"
#include "protocol/problem.hpp"
#include "protocol/request_head.hpp"
#include "protocol/service_text.hpp"
#include "protocol/sse.hpp"
#include "transport/log.hpp"

#include <fstream>
#include <gtest/gtest.h>
#include <iterator>

namespace auburnweir::protocol
{
namespace
{

class service_text_test : public testing::Test
{
protected:
    std::string valid_text() const
    {
        return "[organisation o]\nbearer_sha256 = " + std::string(64, 'a') +
               "\n[failure_domain d]\nregion = r\n[service s]\nkind = engine\n"
               "[backend b]\nservice = s\nfailure_domain = d\naddress = 127.0.0.1:80\n";
    }

    state::findings findings_of(std::string const& text)
    {
        state::findings found;
        config = read_service_text(text, "f", found);
        return found;
    }

    /// Line and reason of the finding; lists all findings when there is not exactly one.
    std::string single_finding(std::string const& text)
    {
        auto const found = findings_of(text);
        if (found.size() != 1)
            return std::to_string(found.size()) + " findings:\n" + state::to_text(found);
        return std::to_string(found[0].line) + " " + found[0].reason;
    }

    state::configuration_ptr config;
};

TEST_F(service_text_test, valid_text_has_no_findings)
{
    EXPECT_TRUE(findings_of(valid_text()).empty());
    ASSERT_TRUE(config);
    EXPECT_EQ(config->backends().size(), 1U);
}

TEST_F(service_text_test, all_findings_are_reported_with_their_lines)
{
    auto const found = findings_of(
        "stray = 1\n[organisation o]\nbearer_sha256 = short\nweight = heavy\ncolour = red\n"
        "[service s]\nkind = magic\n[backend b]\nservice = t\naddress = nowhere\n");
    std::string const expected = "f:1: stray: key is outside of any section\n"
                                 "f:3: organisation o.bearer_sha256";
    auto const text = state::to_text(found);
    EXPECT_EQ(text.substr(0, expected.size()), expected);
    for (auto const* line :
         {"f:4: organisation o.weight: 'heavy' is not a number", "f:5: organisation o.colour",
          "f:7: service s.kind", "f:8: backend b.failure_domain: key is missing",
          "f:10: backend b.address", "f:8: backend b: belongs to unknown service t"})
        EXPECT_NE(text.find(line), std::string::npos) << line << " in\n" << text;
    EXPECT_FALSE(config);
}

TEST_F(service_text_test, cycle_of_dependencies_is_a_finding)
{
    auto const text = valid_text() + "[service x]\nkind = engine\ndepends_on = y\n"
                                     "[service y]\nkind = engine\ndepends_on = x\n";
    EXPECT_EQ(single_finding(text), "14 dependency cycle through x");
}

TEST_F(service_text_test, dangling_dependency_is_a_finding)
{
    EXPECT_EQ(
        single_finding(valid_text() + "[service x]\nkind = engine\ndepends_on = gone\n"),
        "11 depends on unknown service gone");
}

TEST_F(service_text_test, duplicate_section_and_key_are_findings)
{
    EXPECT_EQ(
        single_finding(valid_text() + "[service s]\nkind = engine\n"), "11 duplicate section");
    EXPECT_EQ(
        single_finding(valid_text() + "[service x]\nkind = engine\nkind = engine\n"),
        "13 duplicate key");
}

TEST_F(service_text_test, too_long_line_is_a_finding_and_is_not_truncated)
{
    auto const text = valid_text() + "; " + std::string(300, 'x') + "\n";
    EXPECT_EQ(single_finding(text), "11 line is longer than 198 bytes");
}

TEST_F(service_text_test, unlisted_idempotent_operation_is_a_finding)
{
    EXPECT_EQ(
        single_finding(
            valid_text() + "[service x]\nkind = plain\noperations = a\nidempotent = b\n"),
        "11 idempotent operation b is not listed");
}

TEST_F(service_text_test, example_text_has_no_findings)
{
    std::ifstream file(std::string{AUBURNWEIR_SOURCE} + "/examples/faroles.ini");
    std::string const text{std::istreambuf_iterator<char>(file), {}};
    EXPECT_EQ(state::to_text(findings_of(text)), "");
}

TEST(entry_settings_test, missing_required_keys_are_all_findings)
{
    state::findings found;
    EXPECT_FALSE(read_entry_settings("[entry]\nworkers = 0\nlisten = here\n", "f", found));
    EXPECT_EQ(found.size(), 8U) << state::to_text(found);
}

TEST(entry_settings_test, missing_optional_keys_take_their_defaults)
{
    state::findings found;
    auto const settings = read_entry_settings(
        "[entry]\nid = e\nfailure_domain = d\nregion = r\nplatform = 127.0.0.1:1\n"
        "configuration_file = f\npeer_key = 0123456789abcdef\n",
        "f", found);
    ASSERT_TRUE(settings) << state::to_text(found);
    EXPECT_EQ(settings->workers, 2);
    EXPECT_EQ(settings->routing, "predicted_first_token");
}

std::string page(std::string const& name)
{
    std::ifstream file(std::string{AUBURNWEIR_SOURCE} + "/docs/" + name);
    return {std::istreambuf_iterator<char>(file), {}};
}

TEST(documentation_test, operations_page_contains_the_reference_of_all_settings)
{
    auto const text = page("OPERATIONS.md");
    EXPECT_NE(text.find(entry_settings_reference()), std::string::npos);
    EXPECT_NE(text.find(service_text_reference()), std::string::npos);
    EXPECT_NE(text.find(gateway_settings_reference()), std::string::npos);
}

TEST(documentation_test, events_page_contains_the_log_catalogue)
{
    EXPECT_NE(page("EVENTS.md").find(transport::log_catalogue_markdown()), std::string::npos);
}

TEST(documentation_test, operations_page_contains_every_refusal_and_retry_reason)
{
    auto const text = page("OPERATIONS.md");
    for (int i = 0; i < static_cast<int>(state::refusal_reason::count_); ++i)
    {
        auto const name = std::string{name_of(static_cast<state::refusal_reason>(i))};
        EXPECT_NE(text.find("`" + name + "`"), std::string::npos) << name;
    }
    for (int i = 0; i < static_cast<int>(state::retry_reason::count_); ++i)
    {
        auto const name = std::string{name_of(static_cast<state::retry_reason>(i))};
        EXPECT_NE(text.find("`" + name + "`"), std::string::npos) << name;
    }
}

TEST(sse_parser_test, stream_split_at_any_byte_yields_whole_events)
{
    std::string const stream = ": comment\nid: 1\ndata: one\n\ndata: two\r\ndata: lines\r\n\r\n";
    for (std::size_t chunk_size = 1; chunk_size <= stream.size(); ++chunk_size)
    {
        sse_parser parser;
        std::vector<std::string> events;
        for (std::size_t i = 0; i < stream.size(); i += chunk_size)
        {
            ASSERT_TRUE(parser.feed(std::string_view{stream}.substr(i, chunk_size)));
            while (auto const data = parser.next())
                events.emplace_back(*data);
        }
        EXPECT_EQ(events, (std::vector<std::string>{"one", "two\nlines"}));
    }
}

TEST(sse_parser_test, event_above_the_size_limit_is_rejected)
{
    sse_parser parser;
    bool accepted = true;
    for (int i = 0; i < 100 && accepted; ++i)
        accepted = parser.feed(std::string(4096, 'x'));
    EXPECT_FALSE(accepted);
}

class request_head_test : public testing::Test
{
protected:
    bool is_rejected(raw_headers const& raw) { return !decode_request_head(raw); }
};

TEST_F(request_head_test, malformed_headers_are_rejected)
{
    raw_headers raw;
    raw.timeout_ms = "-5";
    EXPECT_TRUE(is_rejected(raw));
    raw = {};
    raw.priority = "urgent";
    EXPECT_TRUE(is_rejected(raw));
    raw = {};
    raw.request_id = "no/slashes";
    EXPECT_TRUE(is_rejected(raw));
    raw = {};
    raw.idempotency_key = std::string(129, 'k');
    EXPECT_TRUE(is_rejected(raw));
    raw = {};
    raw.last_event_id = "g.x";
    EXPECT_TRUE(is_rejected(raw));
}

TEST_F(request_head_test, valid_headers_are_decoded)
{
    raw_headers raw;
    raw.authorization = "Bearer t";
    raw.timeout_ms = "250";
    raw.priority = "deferrable";
    raw.last_event_id = "ab12.17";
    auto const head = decode_request_head(raw);
    ASSERT_TRUE(head);
    EXPECT_EQ(head.value().bearer, "t");
    EXPECT_EQ(head.value().timeout, std::chrono::milliseconds{250});
    EXPECT_EQ(head.value().priority, state::priority::deferrable);
    EXPECT_EQ(head.value().resume.after, state::sequence_number{17});
}

class peer_handshake_test : public testing::Test
{
protected:
    peer_handshake connecting{
        peer_handshake::role::connecting, state::instance_id{"a"}, "shared", "n1"};
    peer_handshake accepting{
        peer_handshake::role::accepting, state::instance_id{"b"}, "shared", "n2"};
    peer_handshake accepting_with_other_key{
        peer_handshake::role::accepting, state::instance_id{"b"}, "other", "n3"};
};

TEST_F(peer_handshake_test, shared_key_authenticates_both_sides)
{
    auto const challenge = std::get<handshake_send>(accepting.receive(connecting.hello()));
    auto const done = std::get<handshake_done>(connecting.receive(challenge.frame));
    EXPECT_EQ(done.peer, state::instance_id{"b"});
    auto const proved = std::get<handshake_done>(accepting.receive(*done.frame));
    EXPECT_EQ(proved.peer, state::instance_id{"a"});
}

TEST_F(peer_handshake_test, different_key_is_refused_on_both_sides)
{
    auto const challenge =
        std::get<handshake_send>(accepting_with_other_key.receive(connecting.hello()));
    EXPECT_TRUE(std::holds_alternative<handshake_refused>(connecting.receive(challenge.frame)));
    EXPECT_TRUE(std::holds_alternative<handshake_refused>(
        accepting_with_other_key.receive(challenge.frame)));
}

TEST_F(peer_handshake_test, message_before_the_proof_is_refused)
{
    EXPECT_TRUE(std::holds_alternative<handshake_refused>(accepting.receive("\x80")));
}

/// Bytes that no instance sends.
class malformed_cbor_test : public testing::Test
{
protected:
    /// An array that announces 7,026,040,248,528,011,263 elements.
    std::string const excessive_array = "\x9B\x61\x81\x9F\xFF\xFF\xFF\xFF\xFF";
    std::string const excessive_map = "\xBB\x61\x81\x9F\xFF\xFF\xFF\xFF\xFF";
    /// Arrays of one element in each other, deeper than any stack.
    std::string const deep_array = std::string(4000000, '\x81');
    std::string const deep_indefinite_array = std::string(4000000, '\x9F');
    std::string const deep_map = std::string(4000000, '\xA1');

    std::vector<std::string> all() const
    {
        return {excessive_array, excessive_map, deep_array, deep_indefinite_array, deep_map};
    }
};

TEST_F(malformed_cbor_test, parse_cbor_rejects_it)
{
    for (auto const& bytes : all())
        EXPECT_FALSE(parse_cbor(bytes));
}

TEST_F(malformed_cbor_test, peer_frame_is_rejected)
{
    for (auto const& bytes : all())
        EXPECT_FALSE(decode_frame(bytes).has_value());
}

TEST_F(malformed_cbor_test, frame_before_authentication_is_refused)
{
    for (auto const& bytes : all())
    {
        peer_handshake accepting{
            peer_handshake::role::accepting, state::instance_id{"b"}, "shared", "n2"};
        EXPECT_TRUE(std::holds_alternative<handshake_refused>(accepting.receive(bytes)));
    }
}

TEST_F(malformed_cbor_test, row_of_the_lease_is_rejected)
{
    for (auto const& bytes : all())
        EXPECT_FALSE(decode_duty_record(bytes));
}

TEST(problem_test, body_contains_reason_outcome_and_request)
{
    problem p{
        state::refusal_reason::store_unavailable, state::run_outcome::not_run, "d",
        state::request_id{"r"}, std::chrono::milliseconds{1500}};
    auto const body = encode(p);
    for (auto const* member :
         {R"("reason":"store_unavailable")", R"("run":"not_run")", R"("request_id":"r")",
          R"("retry_after":2)", R"("status":503)"})
        EXPECT_NE(body.find(member), std::string::npos) << member;
}

} // namespace
} // namespace auburnweir::protocol
