#include "protocol/cbor.hpp"
#include "protocol/duty_record_codec.hpp"
#include "protocol/peer_message.hpp"
#include "protocol/quarantine_record_codec.hpp"
#include "support/message_samples.hpp"

#include <algorithm>
#include <fstream>
#include <gtest/gtest.h>
#include <map>

namespace auburnweir::protocol
{
namespace
{

/// Bytes that `record-messages` of earlier builds has written; see docs/design/mixed-builds.md.
constexpr char const* recorded_file =
    AUBURNWEIR_SOURCE "/tests/unit/recorded/63ea7b5-to-156e86e.txt";

class recorded_message_test : public testing::Test
{
protected:
    recorded_message_test()
    {
        std::ifstream lines(recorded_file);
        for (std::string name, digits; lines >> name >> digits;)
            recorded[name] = bytes_of(digits);
    }

    static std::string bytes_of(std::string const& digits)
    {
        std::string bytes;
        for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
            bytes += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16));
        return bytes;
    }

    /// The only message of a frame; null when the frame can't be decoded.
    template <class Message>
    static std::optional<Message> decoded_message(std::string const& frame)
    {
        auto const messages = decode_frame(frame);
        if (!messages || messages.value().size() != 1)
            return std::nullopt;
        auto const* message = std::get_if<Message>(&messages.value().front());
        return message ? std::optional{*message} : std::nullopt;
    }

    /// Whether the elements of `earlier`'s only message come first in that of `later`, so that a
    /// reader that knows no more than these reads the same from both.
    static bool begins_with_elements_of(std::string const& later, std::string const& earlier)
    {
        auto const longer = parse_cbor(later)->at(0);
        auto const shorter = parse_cbor(earlier)->at(0);
        return longer.size() >= shorter.size() &&
               std::equal(shorter.begin(), shorter.end(), longer.begin());
    }

    std::map<std::string, std::string> recorded;
};

// CONFIG: a holder that misreads a report confirms a configuration that the other build lacks.
TEST_F(recorded_message_test, report_of_earlier_builds_is_read_in_full)
{
    EXPECT_EQ(
        decoded_message<state::instance_report>(recorded.at("report")), tests::sample_report());
}

TEST_F(recorded_message_test, report_response_of_earlier_builds_is_read_in_full)
{
    EXPECT_EQ(
        decoded_message<state::report_response>(recorded.at("report_response")),
        tests::sample_response());
}

TEST_F(recorded_message_test, duty_row_of_earlier_builds_is_read_in_full)
{
    EXPECT_EQ(decode_duty_record(recorded.at("duty_row")), tests::sample_duty_record());
}

TEST_F(recorded_message_test, quarantine_row_of_earlier_builds_is_read_in_full)
{
    EXPECT_EQ(
        decode_quarantine_record(recorded.at("quarantine_row")), tests::sample_quarantine_record());
}

TEST_F(recorded_message_test, fields_of_earlier_builds_are_written_as_they_wrote_them)
{
    EXPECT_EQ(encode_frame({tests::sample_report()}), recorded.at("report"));
    EXPECT_EQ(encode_frame({tests::sample_response()}), recorded.at("report_response"));
    EXPECT_EQ(encode_duty_record(tests::sample_duty_record()), recorded.at("duty_row"));
    EXPECT_EQ(
        encode_quarantine_record(tests::sample_quarantine_record()), recorded.at("quarantine_row"));
}

// An earlier build stops reading where its fields end.
TEST_F(recorded_message_test, fields_that_earlier_builds_lack_come_last)
{
    auto report = tests::sample_report();
    report.relay_port = 7600;
    report.unreachable = {state::service_id{"engine"}};
    EXPECT_TRUE(begins_with_elements_of(encode_frame({report}), recorded.at("report")));
    auto response = tests::sample_response();
    state::relay_peer peer;
    peer.id = state::instance_id{"gateway-3"};
    response.relays[state::service_id{"engine"}] = {peer};
    EXPECT_TRUE(begins_with_elements_of(encode_frame({response}), recorded.at("report_response")));
}

// A report without ratings has to say so for a reader that expects them before the relay port.
TEST_F(recorded_message_test, report_with_relay_port_alone_names_no_ratings_to_earlier_builds)
{
    auto report = tests::sample_report();
    report.ratings = {};
    report.observations.clear();
    auto const earlier = encode_frame({report});
    report.relay_port = 7600;
    auto const frame = encode_frame({report});
    EXPECT_TRUE(begins_with_elements_of(frame, earlier));
    EXPECT_EQ(decoded_message<state::instance_report>(frame), report);
}

} // namespace
} // namespace auburnweir::protocol
