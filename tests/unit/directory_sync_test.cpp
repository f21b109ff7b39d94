#include "transport/directory_sync.hpp"

#include "coordination/cold_shares.hpp"
#include "platform/cloud_client.hpp"
#include "platform/format.hpp"
#include "platform/headers.hpp"
#include "platform/store_client.hpp"
#include "transport/clock.hpp"

#include <gtest/gtest.h>
#include <thread>

namespace auburnweir::transport
{
namespace
{

using namespace std::chrono_literals;

/// An instance that learns of backend servers from the store and from the holder of the duties.
class directory_sync_test : public testing::Test
{
protected:
    static stored_row row(std::string id, bool removed = false)
    {
        stored_row r;
        r.key = std::move(id);
        r.removed = removed;
        r.value = R"({"service":"desk","address":"10.0.0.1:80","zone":"z","version":"v1",
                      "slots":4,"state":"ready","sequence":1,"born":1000})";
        return r;
    }

    static row_listing listing(std::vector<stored_row> rows, state::time_point requested_at)
    {
        row_listing l;
        l.rows = std::move(rows);
        l.requested_at = requested_at;
        l.received_at = requested_at;
        return l;
    }

    state::directory_update update(
        std::vector<std::string> listed, std::vector<std::string> removed)
    {
        state::directory_update u;
        u.version = state::directory_version{1};
        for (auto const& id : listed)
            u.listed.push_back(*format.server(id, row(id).value));
        for (auto const& id : removed)
            u.removed.emplace_back(id);
        return u;
    }

    bool knows(std::string const& id) const
    {
        auto const ids = tables.servers.ids();
        return std::find(ids.begin(), ids.end(), state::backend_id{id}) != ids.end();
    }

    bool is_open(std::string const& id)
    {
        return tables.servers.try_send(state::backend_id{id}, now());
    }

    protocol::gateway_settings settings = []
    {
        protocol::gateway_settings s;
        s.drain_bound = 3s;
        return s;
    }();
    gateway_tables tables{settings};
    worker_pool workers{1, 1};
    timer_service timers{workers.at(0).io()};
    shared_clock clock;
    platform::headers headers;
    platform::format format;
    platform::store_client store{workers.at(0).http(), {}, tables.counters};
    platform::cloud_client fleet{workers.at(0).http(), {}};
    std::atomic<stop_phase> phase{stop_phase::running};
    activity_count activity;
    caller_connections callers;
    activity_count relayed;
    gateway_context context{settings, state::incarnation_number{1},    tables, workers,  timers,
                            clock,    {headers, format, store, fleet}, phase,  activity, callers,
                            relayed};
    directory_sync directory{context};
    state::time_point start = now();
};

TEST_F(directory_sync_test, apply_rows_requested_before_holder_read_does_not_list_a_removed_server)
{
    ASSERT_TRUE(directory.apply_rows(listing({row("a"), row("b")}, start), true));
    ASSERT_TRUE(directory.apply_update(update({}, {"a"}), start + 200ms));
    EXPECT_FALSE(directory.apply_rows(listing({row("a")}, start + 150ms), false));
    EXPECT_FALSE(knows("a"));
    EXPECT_TRUE(knows("b"));
}

TEST_F(directory_sync_test, apply_update_read_before_own_read_does_not_list_a_removed_server)
{
    ASSERT_TRUE(directory.apply_rows(listing({row("a"), row("b")}, start), true));
    ASSERT_TRUE(directory.apply_rows(listing({row("a", true)}, start + 200ms), false));
    EXPECT_FALSE(directory.apply_update(update({"a"}, {}), start + 150ms));
    EXPECT_FALSE(knows("a"));
}

TEST_F(directory_sync_test, apply_update_without_changes_before_own_read_is_fresh)
{
    ASSERT_TRUE(directory.apply_rows(listing({row("a")}, start), true));
    EXPECT_TRUE(directory.apply_update(update({}, {}), start - 10ms));
    EXPECT_TRUE(knows("a"));
    EXPECT_TRUE(directory.holder_updates_are_fresh());
}

TEST_F(directory_sync_test, apply_update_after_own_read_is_applied_and_fresh)
{
    ASSERT_TRUE(directory.apply_rows(listing({row("a")}, start), true));
    EXPECT_FALSE(directory.holder_updates_are_fresh());
    EXPECT_TRUE(directory.apply_update(update({"b"}, {"a"}), start + 10ms));
    EXPECT_FALSE(knows("a"));
    EXPECT_TRUE(knows("b"));
    EXPECT_TRUE(directory.holder_updates_are_fresh());
}

// Guards against COLD: servers that appear after the start of this process get all requests at
// once.
TEST_F(directory_sync_test, servers_of_the_first_reading_are_warm_and_young_ones_after_it_are_cold)
{
    state::routed_service service;
    service.id = state::service_id{"desk"};
    service.cold_time = 20s;
    service.cold_per_second = 9.9;
    tables.servers.set_cold_policy(coordination::cold_policy_for({service}, {}, 300ms), now());
    auto const young_row = [&](std::string id)
    {
        auto r = row(std::move(id));
        auto const born = std::to_string(clock.true_time().time_since_epoch().count());
        r.value.replace(r.value.find(":1000}"), 6, ":" + born + "}");
        return r;
    };
    ASSERT_TRUE(directory.apply_rows(listing({young_row("first")}, start), true));
    ASSERT_TRUE(
        directory.apply_rows(listing({young_row("young"), row("old")}, start + 100ms), false));
    EXPECT_TRUE(is_open("first"));
    EXPECT_FALSE(is_open("young"));
    EXPECT_TRUE(is_open("old"));
}

// Guards against COLD: a server that stays cold as its unchanged row is read again.
TEST_F(directory_sync_test, cold_time_of_a_row_counts_from_its_first_reading)
{
    state::routed_service service;
    service.id = state::service_id{"desk"};
    service.cold_per_second = 9.9;
    tables.servers.set_cold_policy(coordination::cold_policy_for({service}, {}, 300ms), now());
    auto cold = row("a");
    cold.version = state::row_version{7};
    cold.value.replace(cold.value.find("}"), 1, R"(,"coldRemainingMs":200})");
    ASSERT_TRUE(directory.apply_rows(listing({cold}, start), true));
    EXPECT_FALSE(is_open("a"));
    std::this_thread::sleep_for(250ms);
    ASSERT_TRUE(directory.apply_rows(listing({cold}, now()), true));
    EXPECT_TRUE(is_open("a"));
    cold.version = state::row_version{8};
    ASSERT_TRUE(directory.apply_rows(listing({cold}, now()), true));
    EXPECT_FALSE(is_open("a"));
}

// Guards against DRAIN: a server that left after the store's return is used for a whole time-out
// more.
TEST_F(directory_sync_test, server_removed_after_store_error_is_used_until_servers_are_listed_again)
{
    constexpr auto after_error = 1200ms;
    ASSERT_TRUE(directory.apply_rows(listing({row("a"), row("b")}, start), true));
    directory.record_store_error();
    std::this_thread::sleep_for(after_error);
    ASSERT_TRUE(directory.apply_update(update({}, {"a"}), now()));
    EXPECT_TRUE(is_open("a"));
    std::this_thread::sleep_for(after_error);
    EXPECT_FALSE(is_open("a"));
    EXPECT_TRUE(is_open("b"));
    directory.expire();
    EXPECT_FALSE(knows("a"));
}

} // namespace
} // namespace auburnweir::transport
