#include "protocol/cbor.hpp"
#include "protocol/duty_record_codec.hpp"

#include <gtest/gtest.h>

namespace auburnweir::protocol
{
namespace
{

/// The row of the lease on the duties.
class duty_record_codec_test : public testing::Test
{
protected:
    static state::wall_time at(int ms) { return state::wall_time{std::chrono::milliseconds{ms}}; }

    duty_record_codec_test()
    {
        record.lease = {state::instance_id{"a"}, state::fencing_number{7}, at(5000)};
        record.holder_address = {"10.0.0.1", 9000};
        record.reported_through = state::window_number{10};
        record.usage[state::window_number{11}]
                    [{state::instance_id{"a"}, state::incarnation_number{3}}]
                    [state::organisation_id{"acme"}] = 4;
        history.acted_until = at(4000);
        history.earlier = {
            {state::instance_id{"b"}, at(2000)}, {state::instance_id{"c"}, at(3000)}};
        history.others_acted_until = at(1000);
    }

    std::optional<coordination::duty_record> decoded() const
    {
        return decode_duty_record(encode_duty_record(record));
    }

    coordination::duty_record record;
    state::lease_history history;
};

TEST_F(duty_record_codec_test, row_with_history_survives_a_round_trip)
{
    record.lease.history = history;
    EXPECT_EQ(decoded(), record);
    record.pending = coordination::pending_usage{state::window_number{11}, {}};
    EXPECT_EQ(decoded(), record);
    record.lease.history = state::lease_history{};
    EXPECT_EQ(decoded(), record);
}

TEST_F(duty_record_codec_test, row_of_an_earlier_version_has_no_history)
{
    ASSERT_TRUE(decoded());
    EXPECT_FALSE(decoded()->lease.history);
}

// Guards against a row that gateways of an earlier version can't read: they would take its lease.
TEST_F(duty_record_codec_test, history_changes_no_element_that_earlier_versions_read)
{
    constexpr std::size_t usage = 5;
    auto const without = parse_cbor(encode_duty_record(record));
    record.lease.history = history;
    auto with = parse_cbor(encode_duty_record(record));
    ASSERT_TRUE(without && with);
    EXPECT_EQ((*with)[usage].size(), 3U);
    (*with)[usage].erase(2);
    EXPECT_EQ(*with, *without);
}

TEST_F(duty_record_codec_test, row_with_too_many_earlier_holders_is_rejected)
{
    history.earlier.assign(17, {state::instance_id{"b"}, at(2000)});
    record.lease.history = history;
    EXPECT_FALSE(decoded());
}

} // namespace
} // namespace auburnweir::protocol
