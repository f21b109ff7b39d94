#include "state/directory_log.hpp"

#include <gtest/gtest.h>

namespace auburnweir::state
{
namespace
{

using namespace std::chrono_literals;

class directory_log_test : public testing::Test
{
protected:
    static listed_server server(std::string id, bool draining = false)
    {
        listed_server s;
        s.id = backend_id{std::move(id)};
        s.incarnation = incarnation_number{1};
        s.service = service_id{"desk"};
        s.address = {"10.0.0.1", 80};
        s.draining = draining;
        return s;
    }

    void list(directory_log& log, std::initializer_list<char const*> ids)
    {
        for (auto const* id : ids)
            log.record_listed(server(id));
        log.confirm(start);
    }

    time_point start{1s};
    directory_log log;
    directory_log other;
};

TEST_F(directory_log_test, changes_since_before_any_read_is_null)
{
    log.record_listed(server("a"));
    EXPECT_FALSE(log.changes_since(directory_version{0}, start));
    EXPECT_FALSE(log.full_copy(start));
}

TEST_F(directory_log_test, changes_since_version_lists_only_later_changes)
{
    list(log, {"a", "b"});
    auto const base = log.full_copy(start)->version;
    log.record_listed(server("b", true));
    log.record_removed(backend_id{"a"});

    auto const update = log.changes_since(base, start + 5ms);

    ASSERT_TRUE(update);
    EXPECT_FALSE(update->complete);
    ASSERT_EQ(update->listed.size(), 1U);
    EXPECT_TRUE(update->listed[0].draining);
    EXPECT_EQ(update->removed, std::vector{backend_id{"a"}});
    EXPECT_EQ(update->age, 5ms);
}

TEST_F(directory_log_test, digest_of_equal_content_does_not_depend_on_order_and_history)
{
    list(log, {"a", "b", "c"});
    list(other, {"c", "x", "a"});
    other.record_removed(backend_id{"x"});
    EXPECT_NE(log.digest(), other.digest());
    other.record_listed(server("b", true));
    EXPECT_NE(log.digest(), other.digest());
    other.record_listed(server("b"));
    EXPECT_EQ(log.digest(), other.digest());
}

TEST_F(directory_log_test, version_with_digest_of_another_copy_is_base_of_its_changes)
{
    list(log, {"a", "b"});
    list(other, {"b", "a"});
    log.record_listed(server("c"));

    auto const base = log.version_with(other.digest());

    ASSERT_TRUE(base);
    auto const update = log.changes_since(*base, start);
    ASSERT_EQ(update->listed.size(), 1U);
    EXPECT_EQ(update->listed[0].id, backend_id{"c"});
}

TEST_F(directory_log_test, version_with_unknown_digest_is_null)
{
    list(log, {"a"});
    list(other, {"b"});
    EXPECT_FALSE(log.version_with(other.digest()));
}

TEST_F(directory_log_test, changes_since_version_before_history_is_null)
{
    list(log, {"a"});
    auto const base = log.full_copy(start)->version;
    for (std::size_t i = 0; i <= directory_log::max_history; ++i)
        log.record_listed(server("b", i % 2 == 0));
    EXPECT_FALSE(log.changes_since(base, start));
    EXPECT_EQ(log.full_copy(start)->listed.size(), 2U);
}

// Guards against a directory that is sent to all instances whenever a cold server renews its row.
TEST_F(directory_log_test, renewed_row_of_a_cold_server_is_no_change)
{
    auto row = server("a");
    row.cold_for = 30s;
    log.record_listed(row, start);
    log.confirm(start);
    auto const base = log.full_copy(start)->version;
    row.cold_for = 28s;
    log.record_listed(row, start + 2s);
    EXPECT_TRUE(log.changes_since(base, start + 2s)->listed.empty());
    row.cold_for = 60s;
    log.record_listed(row, start + 3s);
    EXPECT_EQ(log.changes_since(base, start + 3s)->listed.size(), 1U);
}

TEST_F(directory_log_test, update_states_what_is_left_of_a_cold_time)
{
    auto row = server("a");
    row.cold_for = 30s;
    log.record_listed(row, start);
    log.record_listed(server("b"), start);
    log.confirm(start);
    auto const update = log.full_copy(start + 10s);
    EXPECT_EQ(update->listed.at(0).cold_for, 20s);
    EXPECT_FALSE(update->listed.at(1).cold_for);
    EXPECT_LT(log.full_copy(start + 1h)->listed.at(0).cold_for, 1ms);
}

// Guards against copies of the whole directory for instances that read the store at another time.
TEST_F(directory_log_test, digest_depends_on_whether_a_row_says_cold_and_not_on_the_time_left)
{
    auto row = server("a");
    row.cold_for = 30s;
    log.record_listed(row, start);
    log.confirm(start);
    for (auto const later : {5s, 60s})
    {
        directory_log copy;
        copy.record_listed(log.full_copy(start + later)->listed.at(0), start + later);
        EXPECT_EQ(copy.digest(), log.digest());
    }
    row.cold_for = 0s;
    other.record_listed(row, start);
    EXPECT_NE(other.digest(), log.digest());
}

TEST_F(directory_log_test, removed_servers_beyond_history_are_forgotten)
{
    // A deployment whose servers come and go for days.
    for (std::size_t i = 0; i < 4 * directory_log::max_history; ++i)
    {
        auto const id = std::to_string(i);
        log.record_listed(server(id));
        log.record_removed(backend_id{id});
    }
    log.confirm(start);
    EXPECT_EQ(log.server_count(), 0U);
    EXPECT_EQ(log.digest(), directory_digest{0});
    auto const newest = log.full_copy(start)->version;
    auto const oldest = directory_version{newest.count() - directory_log::max_history + 1};
    EXPECT_LE(log.changes_since(oldest, start)->removed.size(), directory_log::max_history);
}

} // namespace
} // namespace auburnweir::state
