#include "coordination/rating_summary.hpp"
#include "coordination/server_rating_table.hpp"
#include "coordination/stream_intervals.hpp"
#include "platform/headers.hpp"
#include "protocol/peer_message.hpp"
#include "state/server_observation_table.hpp"

#include <gtest/gtest.h>
#include <iostream>
#include <limits>
#include <set>

namespace auburnweir::coordination
{
namespace
{

using namespace std::chrono_literals;
using state::backend_id;
using state::duration;
using state::event_intervals;
using state::incarnation_number;
using state::rating_version;
using state::service_id;
using state::time_point;

service_id const llm{"llm"};

state::listed_server listed(std::string id, std::uint64_t incarnation = 1)
{
    state::listed_server server;
    server.id = backend_id{std::move(id)};
    server.incarnation = incarnation_number{incarnation};
    server.service = llm;
    return server;
}

state::server_load load_of(std::int64_t running, std::int64_t waiting = 0)
{
    return {running, waiting, 16, std::nullopt};
}

/// The load in the headers of a response.
class load_header_test : public testing::Test
{
protected:
    transport::backend_headers decode(std::vector<std::string> const& lines)
    {
        transport::http_fields from;
        for (auto const& line : lines)
            from.insert("Auburnweir-Instance-Load", line);
        return headers.decode_response(200, from);
    }

    platform::headers headers;
};

TEST_F(load_header_test, three_values_are_a_load_without_a_work_factor)
{
    auto const decoded = decode({"3, 1,16"});
    EXPECT_EQ(decoded.load, (state::server_load{3, 1, 16, std::nullopt}));
    EXPECT_EQ(decoded.malformed_loads, 0);
}

TEST_F(load_header_test, fourth_value_is_the_work_factor)
{
    auto const decoded = decode({"3,1,16,250"});
    EXPECT_EQ(decoded.load, (state::server_load{3, 1, 16, state::work_factor{250}}));
    EXPECT_EQ(decode({"0,0,1,1000000000"}).load->work, state::work_factor{1000000000});
    EXPECT_EQ(decoded.malformed_loads, 0);
}

// Guards against a load that is made up from parts of a malformed header.
TEST_F(load_header_test, malformed_value_is_ignored_and_counted)
{
    for (auto const* value :
         {"",
          "1",
          "1,2",
          "1,2,3,4,5",
          "-1,2,3",
          "1,-2,3",
          "1,2,-3",
          "1,2,3,-4",
          "1,2,3,0",
          "1,2,3,x",
          "a,2,3",
          "1,2,3,1000000001",
          "1000000001,2,3",
          "1,2,3,1e3",
          "1,2,3,99.5",
          "1,,2,3",
          "1,2,3,",
          ",1,2,3",
          "1;2;3",
          "1,2,3,nan",
          "99999999999999999999,1,1"})
    {
        auto const decoded = decode({value});
        EXPECT_FALSE(decoded.load) << value;
        EXPECT_EQ(decoded.malformed_loads, 1) << value;
        EXPECT_EQ(decoded.malformed_statements, 0) << value;
    }
}

TEST_F(load_header_test, contradictory_headers_are_ignored_and_counted_once)
{
    auto const decoded = decode({"1,2,3", "4,5,6"});
    EXPECT_FALSE(decoded.load);
    EXPECT_EQ(decoded.malformed_loads, 1);
}

TEST_F(load_header_test, response_without_the_header_is_not_malformed)
{
    auto const decoded = decode({});
    EXPECT_FALSE(decoded.load);
    EXPECT_EQ(decoded.malformed_loads, 0);
}

/// Times between the events of one stream.
class stream_intervals_test : public testing::Test
{
protected:
    /// Adds `count` events that arrive one by one.
    void add_events(int count, duration interval)
    {
        for (int i = 0; i < count; ++i, now += interval)
            record(stream.add(1, now));
    }

    void record(std::optional<event_intervals> const& portion)
    {
        if (!portion)
            return;
        ++portions;
        recorded.count += portion->count;
        recorded.total += portion->total;
    }

    stream_intervals stream;
    event_intervals recorded;
    int portions = 0;
    time_point now{1h};
};

TEST_F(stream_intervals_test, stream_with_three_events_gives_nothing)
{
    add_events(3, 300ms);
    record(stream.take());
    EXPECT_EQ(portions, 0);
}

TEST_F(stream_intervals_test, stream_with_four_events_gives_three_intervals_at_its_end)
{
    add_events(4, 20ms);
    EXPECT_EQ(portions, 0);
    record(stream.take());
    EXPECT_EQ(recorded, (event_intervals{3, 60ms}));
}

TEST_F(stream_intervals_test, long_stream_gives_each_interval_once_and_while_it_runs)
{
    add_events(100, 20ms);
    EXPECT_GE(portions, 10);
    record(stream.take());
    record(stream.take());
    EXPECT_EQ(recorded, (event_intervals{99, 99 * 20ms}));
}

// Guards against a server that turns slow and is seen only when a whole portion has come.
TEST_F(stream_intervals_test, stream_that_turns_slow_gives_portions_within_half_a_second)
{
    add_events(8, 20ms);
    portions = 0;
    auto const slow_since = now;
    while (portions == 0)
        add_events(1, 100ms);
    EXPECT_LE(now - slow_since, 500ms);
}

TEST_F(stream_intervals_test, pause_before_the_first_event_does_not_count)
{
    now += 10s;
    add_events(9, 10ms);
    record(stream.take());
    EXPECT_EQ(recorded, (event_intervals{8, 80ms}));
}

TEST_F(stream_intervals_test, events_that_arrive_together_share_the_time)
{
    record(stream.add(2, now));
    record(stream.add(4, now + 80ms));
    record(stream.take());
    EXPECT_EQ(recorded, (event_intervals{4, 80ms}));
}

// Guards against a slow caller that makes its server seem slow, or fast when the events that have
// gathered meanwhile arrive together.
TEST_F(stream_intervals_test, skipped_interval_does_not_count)
{
    add_events(5, 20ms);
    stream.skip_next();
    now += 5s;
    record(stream.add(50, now));
    record(stream.add(1, now + 20ms));
    record(stream.take());
    EXPECT_EQ(recorded, (event_intervals{5, 100ms}));
}

/// What an instance has seen since its last report.
class server_observation_table_test : public testing::Test
{
protected:
    server_observation_table_test() { table.set_rated_services({llm}); }

    state::server_observation_table table;
    time_point now{1h};
};

TEST_F(server_observation_table_test, take_returns_sums_and_the_newest_load_once)
{
    table.record_intervals(listed("a"), {3, 60ms});
    table.record_intervals(listed("a"), {2, 50ms});
    table.record_load(listed("a"), load_of(1), now);
    table.record_load(listed("a"), load_of(4, 2), now + 100ms);

    auto const seen = table.take(now + 300ms);

    ASSERT_EQ(seen.size(), 1U);
    EXPECT_EQ(seen[0].intervals, (event_intervals{5, 110ms}));
    EXPECT_EQ(seen[0].load, load_of(4, 2));
    EXPECT_EQ(seen[0].load_age, 200ms);
    EXPECT_TRUE(table.take(now + 300ms).empty());
}

TEST_F(server_observation_table_test, server_of_another_service_is_not_recorded)
{
    auto other = listed("a");
    other.service = service_id{"desk"};
    table.record_intervals(other, {3, 60ms});
    table.record_load(other, load_of(1), now);
    EXPECT_TRUE(table.take(now).empty());
}

TEST_F(server_observation_table_test, service_that_is_no_longer_rated_is_not_reported)
{
    table.record_intervals(listed("a"), {3, 60ms});
    table.set_rated_services({});
    EXPECT_TRUE(table.take(now).empty());
}

TEST_F(server_observation_table_test, new_incarnation_replaces_what_was_seen_of_the_old)
{
    table.record_intervals(listed("a", 1), {3, 60ms});
    table.record_intervals(listed("a", 2), {4, 40ms});
    table.record_intervals(listed("a", 1), {5, 500ms});
    auto const seen = table.take(now);
    ASSERT_EQ(seen.size(), 1U);
    EXPECT_EQ(seen[0].incarnation, incarnation_number{2});
    EXPECT_EQ(seen[0].intervals, (event_intervals{4, 40ms}));
}

TEST_F(server_observation_table_test, servers_beyond_the_bound_are_counted_and_not_recorded)
{
    constexpr auto bound = state::server_observation_table::max_servers;
    for (std::size_t i = 0; i < bound + 10; ++i)
        table.record_intervals(listed(std::to_string(i)), {3, 60ms});
    EXPECT_EQ(table.dropped(), 10U);
    EXPECT_EQ(table.take(now).size(), bound);
}

/// Ratings as the holder of the duties merges them.
class server_rating_table_test : public testing::Test
{
protected:
    static constexpr auto usual = 20ms;

    static state::server_observation seen(
        std::string id, std::uint64_t count, duration interval,
        std::optional<state::server_load> load = {}, std::uint64_t incarnation = 1)
    {
        return {
            backend_id{std::move(id)},
            incarnation_number{incarnation},
            {count, static_cast<std::int64_t>(count) * interval},
            std::move(load),
            0ms};
    }

    /// Reports of `instances` instances, each with one stream, in each second of `time`.
    void stream(std::string const& id, int instances, duration interval, duration time)
    {
        auto const step = duration{1s} / instances;
        for (auto const end = now + time; now < end; now += step)
            table.merge({seen(id, static_cast<std::uint64_t>(1s / interval), interval)}, now);
    }

    duration interval_of(std::string const& id) const
    {
        for (auto const& rating : table.all(now))
            if (rating.id == backend_id{id})
                return rating.event_interval;
        return 0ms;
    }

    /// Change of a server's event interval, by the usual one.
    double slowness_of(std::string const& id) const
    {
        return static_cast<double>(interval_of(id).count()) /
               static_cast<double>(duration{usual}.count());
    }

    state::rating_update changes(std::uint64_t base = 0, std::size_t max_count = 64)
    {
        return table.changes_since(rating_version{base}, max_count, now);
    }

    server_rating_table table;
    time_point now{1h};
};

TEST_F(server_rating_table_test, server_that_turns_four_times_slower_is_rated_so_within_two_seconds)
{
    stream("a", 10, usual, 10s);
    EXPECT_NEAR(slowness_of("a"), 1, 0.01);
    stream("a", 10, 4 * usual, 2s);
    EXPECT_GT(slowness_of("a"), 2.5);
    stream("a", 10, 4 * usual, 8s);
    EXPECT_NEAR(slowness_of("a"), 4, 0.2);
    stream("a", 10, usual, 10s);
    EXPECT_NEAR(slowness_of("a"), 1, 0.2);
}

// A server counts as slow from 1.3 times the reference.
TEST_F(server_rating_table_test, slow_server_with_two_streams_loses_weight_within_two_seconds)
{
    stream("a", 2, usual, 10s);
    stream("a", 2, 4 * usual, 2s);
    EXPECT_GT(slowness_of("a"), 1.6);
}

TEST_F(server_rating_table_test, single_slow_stream_changes_the_rating_by_less_than_a_third)
{
    stream("a", 10, usual, 10s);
    table.merge({seen("a", 12, 4 * usual)}, now);
    EXPECT_LT(slowness_of("a"), 1.15);

    stream("b", 2, usual, 10s);
    now += 5s;
    table.merge({seen("b", 12, 4 * usual)}, now);
    EXPECT_LT(slowness_of("b"), 1.3);
}

// Guards against one pause of seconds that outweighs all other streams.
TEST_F(server_rating_table_test, single_long_pause_changes_the_rating_by_less_than_a_third)
{
    stream("a", 2, usual, 10s);
    table.merge({seen("a", 3, 20s)}, now);
    EXPECT_LT(slowness_of("a"), 1.3);
}

// Guards against long answers that outweigh the streams of all other instances.
TEST_F(server_rating_table_test, stream_with_many_events_weighs_as_much_as_others)
{
    stream("a", 10, usual, 10s);
    table.merge({{backend_id{"a"}, incarnation_number{1}, {100000, 1s}, {}, 0ms}}, now);
    EXPECT_GT(slowness_of("a"), 0.95);
}

TEST_F(server_rating_table_test, interval_without_observations_for_ten_seconds_is_unknown)
{
    stream("a", 2, usual, 3s);
    auto const version = changes().version.count();
    now += 9s;
    EXPECT_NE(interval_of("a"), 0ms);
    now += 2s;
    EXPECT_EQ(interval_of("a"), 0ms);
    auto const update = changes(version);
    ASSERT_EQ(update.changed.size(), 1U);
    EXPECT_EQ(update.changed[0].event_interval, 0ms);
}

// Guards against a rating from before a silence that hides what is seen after it.
TEST_F(server_rating_table_test, interval_after_a_silence_is_that_of_the_first_observation)
{
    stream("a", 10, usual, 10s);
    now += 11s;
    table.merge({seen("a", 20, 5 * usual)}, now);
    EXPECT_NEAR(slowness_of("a"), 5, 0.01);
}

TEST_F(server_rating_table_test, newest_load_counts_whatever_the_order_of_the_reports)
{
    auto newer = seen("a", 0, usual, load_of(5, 1));
    newer.load_age = 100ms;
    auto older = seen("a", 0, usual, load_of(9));
    older.load_age = 900ms;
    table.merge({newer}, now);
    table.merge({older}, now + 10ms);
    now += 500ms;
    auto const all = table.all(now);
    ASSERT_EQ(all.size(), 1U);
    EXPECT_EQ(all[0].load, 6);
    EXPECT_EQ(all[0].load_age, 600ms);
}

TEST_F(server_rating_table_test, server_without_a_load_has_one_of_the_age_of_an_unknown_load)
{
    table.merge({seen("a", 20, usual)}, now);
    EXPECT_EQ(table.all(now).at(0).load_age, server_rating_table::max_age);
    EXPECT_EQ(changes().changed.at(0).load_age, server_rating_table::max_age);
}

TEST_F(server_rating_table_test, changes_since_a_version_are_those_of_more_than_a_fifth)
{
    for (auto const* id : {"a", "b", "c"})
        stream(id, 10, usual, 3s);
    auto const version = changes().version.count();
    EXPECT_EQ(changes().changed.size(), 3U);
    EXPECT_TRUE(changes(version).changed.empty());
    EXPECT_EQ(changes(version).version.count(), version);

    stream("a", 10, duration{23ms}, 5s);
    EXPECT_TRUE(changes(version).changed.empty());
    stream("b", 10, duration{26ms}, 5s);
    stream("c", 10, usual, 1s);
    auto const update = changes(version);
    ASSERT_EQ(update.changed.size(), 1U);
    EXPECT_EQ(update.changed[0].id, backend_id{"b"});
    EXPECT_GT(update.changed[0].event_interval, 24ms);
    EXPECT_TRUE(changes(update.version.count()).changed.empty());
}

TEST_F(server_rating_table_test, small_changes_in_sequence_are_published)
{
    stream("a", 10, usual, 5s);
    auto const version = changes().version.count();
    for (duration interval = usual; interval < 30ms; interval += 1ms)
        stream("a", 10, interval, 1s);
    ASSERT_EQ(changes(version).changed.size(), 1U);
    EXPECT_GT(changes(version).changed[0].event_interval, 24ms);
}

TEST_F(server_rating_table_test, load_that_changes_by_an_eighth_of_the_slots_is_published)
{
    table.merge({seen("a", 0, usual, load_of(4))}, now);
    auto const version = changes().version.count();
    table.merge({seen("a", 0, usual, load_of(4, 1))}, now);
    EXPECT_TRUE(changes(version).changed.empty());
    table.merge({seen("a", 0, usual, load_of(4, 2))}, now);
    ASSERT_EQ(changes(version).changed.size(), 1U);
    EXPECT_EQ(changes(version).changed[0].load, 6);
}

TEST_F(server_rating_table_test, changes_beyond_the_bound_follow_with_the_next_versions)
{
    for (int i = 0; i < 10; ++i)
        table.merge({seen(std::to_string(i), 20, usual)}, now);
    std::set<backend_id> received;
    std::uint64_t version = 0;
    for (int response = 0; response < 4; ++response)
    {
        auto const update = changes(version, 4);
        EXPECT_LE(update.changed.size(), 4U);
        version = update.version.count();
        for (auto const& rating : update.changed)
            EXPECT_TRUE(received.insert(rating.id).second);
    }
    EXPECT_EQ(received.size(), 10U);
}

// Guards against servers whose load changes all the time and whose ratings fill all responses.
TEST_F(server_rating_table_test, follower_of_600_servers_with_changing_loads_gets_each_server)
{
    constexpr int servers = 600;
    constexpr int seconds = 20;
    std::map<backend_id, time_point> received_at;
    std::uint64_t version = 0;
    for (int second = 0; second < seconds; ++second, now += 1s)
    {
        for (int i = 0; i < servers; ++i)
            table.merge({seen("s" + std::to_string(i), 20, usual, load_of((second % 2) * 8))}, now);
        auto const update = changes(version);
        version = update.version.count();
        for (auto const& rating : update.changed)
            received_at[rating.id] = now;
    }
    EXPECT_EQ(received_at.size(), static_cast<std::size_t>(servers));
    table.merge({seen("s300", 100, 20 * usual)}, now);
    stream("s300", 10, 4 * usual, 2s);
    std::size_t responses = 0;
    for (bool received = false; !received && responses < 10; ++responses)
    {
        auto const update = changes(version);
        version = update.version.count();
        for (auto const& rating : update.changed)
            received =
                received || (rating.id == backend_id{"s300"} && rating.event_interval > 2 * usual);
    }
    EXPECT_LT(responses, 10U);
}

TEST_F(server_rating_table_test, value_that_stays_is_published_again_after_a_while)
{
    stream("a", 2, usual, 3s);
    auto const version = changes().version.count();
    stream("a", 2, usual, 20s);
    EXPECT_TRUE(changes(version).changed.empty());
    stream("a", 2, usual, 15s);
    EXPECT_EQ(changes(version).changed.size(), 1U);
}

TEST_F(server_rating_table_test, retain_removes_unlisted_servers_and_earlier_incarnations)
{
    table.merge({seen("a", 20, usual), seen("b", 20, usual), seen("c", 20, usual)}, now);
    table.merge({seen("d", 20, usual, {}, 3)}, now);
    table.retain(
        {{backend_id{"a"}, incarnation_number{1}},
         {backend_id{"b"}, incarnation_number{2}},
         {backend_id{"d"}, incarnation_number{2}}});
    auto const all = table.all(now);
    ASSERT_EQ(all.size(), 2U);
    EXPECT_EQ(all[0].id, backend_id{"a"});
    EXPECT_EQ(all[1].id, backend_id{"d"});
    EXPECT_EQ(changes().changed.size(), 2U);
}

TEST_F(server_rating_table_test, observation_of_an_earlier_incarnation_changes_nothing)
{
    table.merge({seen("a", 20, usual, load_of(2), 2)}, now);
    table.merge({seen("a", 200, 10 * usual, load_of(9), 1)}, now);
    EXPECT_EQ(interval_of("a"), usual);
    EXPECT_EQ(table.all(now).at(0).load, 2);
    table.merge({seen("a", 20, 3 * usual, {}, 3)}, now);
    EXPECT_EQ(interval_of("a"), 3 * usual);
    EXPECT_EQ(changes().changed.size(), 1U);
}

TEST_F(server_rating_table_test, servers_beyond_the_bound_are_counted_and_not_merged)
{
    for (std::size_t i = 0; i < server_rating_table::max_servers + 10; ++i)
        table.merge({seen(std::to_string(i), 20, usual)}, now);
    EXPECT_EQ(table.size(), server_rating_table::max_servers);
    EXPECT_EQ(table.dropped(), 10U);
}

// Guards against reports whose numbers are out of all range.
TEST_F(server_rating_table_test, extreme_observations_leave_a_usable_rating)
{
    table.merge({seen("a", 20, usual)}, now);
    constexpr auto huge = std::numeric_limits<std::int64_t>::max();
    for (auto const& intervals :
         {event_intervals{0, 1h}, event_intervals{5, 0ms}, event_intervals{1, duration{huge}},
          event_intervals{std::numeric_limits<std::uint64_t>::max(), 1us}})
        table.merge({{backend_id{"a"}, incarnation_number{1}, intervals, {}, 0ms}}, now);
    EXPECT_GT(interval_of("a"), 1ms);
    EXPECT_LT(interval_of("a"), 200ms);

    table.merge(
        {{backend_id{"b"},
          incarnation_number{1},
          {1, duration{huge}},
          state::server_load{huge, huge, huge, std::nullopt},
          duration{huge}}},
        now);
    now += 5s;
    EXPECT_EQ(interval_of("b"), 60s);
    EXPECT_EQ(table.all(now).at(1).load_age, server_rating_table::max_age);
    EXPECT_EQ(changes().changed.at(1).load, 2'000'000'000);
}

/// Ratings in the server table of an instance.
class server_table_rating_test : public testing::Test
{
protected:
    server_table_rating_test() { table.apply(listed("a", 2), now); }

    static state::server_rating rating(
        duration interval, std::uint64_t incarnation = 2, std::int64_t load = 3)
    {
        return {backend_id{"a"}, incarnation_number{incarnation}, interval, load, 100ms};
    }

    state::server_view view() const { return *table.view(backend_id{"a"}); }

    state::server_table table;
    time_point now{1h};
};

TEST_F(server_table_rating_test, rating_of_another_incarnation_or_server_is_ignored)
{
    auto unknown = rating(20ms);
    unknown.id = backend_id{"b"};
    table.apply_ratings({rating(20ms, 1), rating(20ms, 3), unknown}, now);
    table.apply_own_ratings({rating(20ms, 1), rating(20ms, 3), unknown}, now);
    EXPECT_FALSE(view().rating);
}

TEST_F(server_table_rating_test, new_incarnation_has_no_rating)
{
    table.apply_ratings({rating(20ms)}, now);
    EXPECT_TRUE(view().rating);
    table.apply(listed("a", 3), now);
    EXPECT_FALSE(view().rating);
}

TEST_F(server_table_rating_test, own_rating_counts_only_when_the_holders_is_older_than_ten_seconds)
{
    table.apply_own_ratings({rating(50ms)}, now);
    EXPECT_EQ(view().rating->event_interval, 50ms);
    table.apply_ratings({rating(20ms)}, now + 1s);
    table.apply_own_ratings({rating(50ms)}, now + 11s);
    EXPECT_EQ(view().rating->event_interval, 20ms);
    table.apply_own_ratings({rating(50ms)}, now + 12s);
    EXPECT_EQ(view().rating->event_interval, 50ms);
    EXPECT_EQ(view().rated_at, now + 12s);
}

// Guards against ratings that become unknown because they stay as they are.
TEST_F(server_table_rating_test, confirmed_rating_holds_with_the_age_of_its_load)
{
    table.apply_ratings({rating(20ms)}, now);
    for (int second = 1; second <= 20; ++second)
        table.confirm_ratings(now, now + std::chrono::seconds{second});
    EXPECT_EQ(view().rated_at, now + 20s);
    EXPECT_EQ(view().rating->load_age, 20s + 100ms);
    table.apply_own_ratings({rating(50ms)}, now + 21s);
    EXPECT_EQ(view().rating->event_interval, 20ms);
}

TEST_F(server_table_rating_test, rating_by_an_earlier_holder_is_not_confirmed_by_the_next)
{
    table.apply_ratings({rating(20ms)}, now);
    table.confirm_ratings(now + 1s, now + 2s);
    EXPECT_EQ(view().rated_at, now);
}

TEST_F(server_table_rating_test, own_rating_is_not_confirmed_by_the_holder)
{
    table.apply_own_ratings({rating(20ms)}, now);
    table.confirm_ratings(now, now + 2s);
    EXPECT_EQ(view().rated_at, now);
}

// Guards against a rating that the holder no longer has and that would hold forever.
TEST_F(server_table_rating_test, rating_that_is_not_sent_again_ages)
{
    table.apply_ratings({rating(20ms)}, now);
    for (int second = 1; second <= 100; ++second)
        table.confirm_ratings(now, now + std::chrono::seconds{second});
    EXPECT_EQ(view().rated_at, now + state::server_table::max_confirmed_time);
}

TEST_F(server_table_rating_test, summary_compares_the_slowest_server_with_the_lower_quartile)
{
    EXPECT_EQ(summarise_ratings(table.snapshot(), now).rated_servers, 0U);
    EXPECT_EQ(summarise_ratings(table.snapshot(), now).slowest_to_reference, 1);
    std::vector<state::server_rating> ratings;
    for (int i = 1; i <= 8; ++i)
    {
        auto const id = std::to_string(i);
        table.apply(listed(id), now);
        ratings.push_back({backend_id{id}, incarnation_number{1}, i * 10ms, 0, 0ms});
    }
    table.apply_ratings(ratings, now);
    auto const summary = summarise_ratings(table.snapshot(), now);
    EXPECT_EQ(summary.rated_servers, 8U);
    EXPECT_DOUBLE_EQ(summary.slowest_to_reference, 4);
    EXPECT_EQ(summarise_ratings(table.snapshot(), now + 11s).rated_servers, 0U);
}

/// Instances that exchange encoded reports and responses without a network; the first instance is
/// the holder.
class rating_exchange_test : public testing::Test
{
protected:
    static constexpr auto usual = 20ms;
    static constexpr auto report_interval = 900ms;

    struct instance
    {
        state::server_observation_table observations;
        server_rating_table ratings;
        state::server_table servers;
        rating_version version;
    };

    void start(std::size_t instance_count, int server_count)
    {
        instances = std::vector<instance>(instance_count);
        for (auto& i : instances)
        {
            i.observations.set_rated_services({llm});
            for (int s = 0; s < server_count; ++s)
                i.servers.apply(server(s), now);
        }
        intervals.assign(static_cast<std::size_t>(server_count), usual);
    }

    static state::listed_server server(int number)
    {
        return listed("engine-" + std::to_string(1000 + number), 1765056000000);
    }

    /// Streams of half a second: in each report interval each instance sends one to `streams`
    /// servers.
    void pass(duration time, int streams)
    {
        for (auto const end = now + time; now < end; now += report_interval)
        {
            for (std::size_t i = 0; i < instances.size(); ++i)
                for (int n = 0; n < streams; ++n)
                    observe(instances[i], next_server++ % static_cast<int>(intervals.size()));
            exchange();
        }
    }

    void observe(instance& at, int number)
    {
        auto const interval = intervals[static_cast<std::size_t>(number)];
        auto const count = std::max<std::int64_t>(3, duration{500ms} / interval);
        at.observations.record_intervals(
            server(number), {static_cast<std::uint64_t>(count), count * interval});
        at.observations.record_load(server(number), load_of(next_server % 8), now);
    }

    void exchange()
    {
        auto& holder = instances.front();
        for (auto& i : instances)
        {
            state::instance_report report;
            report.id = state::instance_id{"gateway-100"};
            report.details.emplace();
            auto const empty_size = protocol::encode_frame({report}).size();
            report.ratings = i.version;
            report.observations = i.observations.take(now);
            auto const frame = protocol::encode_frame({report});
            max_report_bytes = std::max(max_report_bytes, frame.size() - empty_size);
            report_bytes += frame.size() - empty_size;
            auto const decoded = protocol::decode_frame(frame);
            ASSERT_TRUE(decoded.has_value());
            holder.ratings.merge(
                std::get<state::instance_report>(decoded.value().at(0)).observations, now);
            ++reports;
            respond(i);
        }
        holder.servers.apply_ratings(holder.ratings.all(now), now);
    }

    void respond(instance& to)
    {
        state::report_response response;
        auto const empty_size = protocol::encode_frame({response}).size();
        response.ratings = instances.front().ratings.changes_since(
            to.version, server_rating_table::max_per_response, now);
        auto const frame = protocol::encode_frame({response});
        max_response_bytes = std::max(max_response_bytes, frame.size() - empty_size);
        response_bytes += frame.size() - empty_size;
        auto const decoded = protocol::decode_frame(frame);
        ASSERT_TRUE(decoded.has_value());
        auto const& update = *std::get<state::report_response>(decoded.value().at(0)).ratings;
        to.version = update.version;
        to.servers.confirm_ratings(start_time, now);
        to.servers.apply_ratings(update.changed, now);
    }

    /// Number of instances that rate a server as slower than `factor` times the usual.
    std::size_t instances_that_rate(int number, double factor) const
    {
        std::size_t result = 0;
        for (auto const& i : instances)
        {
            auto const view = *i.servers.view(server(number).id);
            bool const is_known =
                view.rating && now - view.rated_at <= server_rating_table::max_age;
            if (is_known && static_cast<double>(view.rating->event_interval.count()) >
                                factor * static_cast<double>(duration{usual}.count()))
                ++result;
        }
        return result;
    }

    void print_sizes(char const* deployment) const
    {
        std::cout << deployment << ": bytes of a report " << report_bytes / reports << " (largest "
                  << max_report_bytes << "), of a response " << response_bytes / reports
                  << " (largest " << max_response_bytes << ")\n";
    }

    time_point const start_time{1h};
    time_point now = start_time;
    std::vector<instance> instances;
    std::vector<duration> intervals; ///< of each server
    int next_server = 0;
    std::size_t reports = 0;
    std::size_t report_bytes = 0;
    std::size_t response_bytes = 0;
    std::size_t max_report_bytes = 0;
    std::size_t max_response_bytes = 0;
};

// Guards against the first deployment's pattern: no instance sees a server often enough to rate it
// alone.
TEST_F(rating_exchange_test, server_that_turns_slow_is_rated_so_at_all_77_instances)
{
    start(77, 60);
    pass(20s, 4);
    EXPECT_EQ(instances_that_rate(7, 1.2), 0U);
    intervals[7] = 4 * usual;
    pass(2700ms, 4);
    EXPECT_EQ(instances_that_rate(7, 1.3), 77U);
    EXPECT_EQ(instances_that_rate(8, 1.2), 0U);
    intervals[7] = usual;
    pass(10s, 4);
    EXPECT_EQ(instances_that_rate(7, 1.3), 0U);
    print_sizes("60 servers, 77 instances");
    EXPECT_LT(max_response_bytes, 4000U);
}

TEST_F(rating_exchange_test, server_that_turns_slow_among_600_is_rated_so_at_all_360_instances)
{
    start(360, 600);
    pass(20s, 10);
    intervals[7] = 4 * usual;
    pass(4500ms, 10);
    EXPECT_EQ(instances_that_rate(7, 1.3), 360U);
    EXPECT_EQ(instances_that_rate(8, 1.2), 0U);
    print_sizes("600 servers, 360 instances");
    EXPECT_LT(max_response_bytes, 4000U);
}

TEST_F(rating_exchange_test, ratings_of_lost_reports_come_with_later_ones)
{
    start(5, 6);
    pass(9s, 3);
    for (auto& i : instances)
        i.observations.take(now);
    auto& cut_off = instances.back();
    cut_off.version = rating_version{};
    pass(900ms, 3);
    EXPECT_EQ(instances_that_rate(3, 0.9), 5U);
}

} // namespace
} // namespace auburnweir::coordination
