#include "state/server_table.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace auburnweir::state
{
namespace
{

using namespace std::chrono_literals;

/// Two servers of a service; another server has answered at the address of the first.
class replaced_server_test : public testing::Test
{
protected:
    static listed_server listed(backend_id id, std::uint64_t incarnation, std::uint16_t port = 1)
    {
        listed_server server;
        server.id = std::move(id);
        server.incarnation = incarnation_number{incarnation};
        server.service = service;
        server.address = {"10.0.0.1", port};
        return server;
    }

    replaced_server_test()
    {
        table.apply(listed(first, 5), now);
        table.apply(listed(second, 5, 2), now);
    }

    bool record_replaced(std::uint64_t incarnation = 5)
    {
        return table.record_replaced(first, incarnation_number{incarnation}, now);
    }

    bool is_open(backend_id const& id) const
    {
        auto const open = table.pool(service, now).open;
        return std::ranges::any_of(open, [&](server_view const& v) { return v.listed.id == id; });
    }

    static inline backend_id const first{"first"};
    static inline backend_id const second{"second"};
    static inline service_id const service{"desk"};
    server_table table;
    time_point now{1h};
};

// Guards against CONFIG: each request went to the replaced server first, which looked idle.
TEST_F(replaced_server_test, replaced_server_gets_no_requests)
{
    EXPECT_TRUE(record_replaced());
    EXPECT_FALSE(is_open(first));
    EXPECT_FALSE(table.try_send(first, now));
    EXPECT_TRUE(is_open(second));
}

// Known to be refused: no request may be spent on it, not even as the last resort.
TEST_F(replaced_server_test, service_of_replaced_servers_alone_has_none_left)
{
    record_replaced();
    table.remove(second, std::nullopt);
    auto const pool = table.pool(service, now);
    EXPECT_TRUE(pool.open.empty());
    EXPECT_TRUE(pool.closed.empty());
}

TEST_F(replaced_server_test, same_listing_again_does_not_open_the_server)
{
    record_replaced();
    table.apply(listed(first, 5), now);
    EXPECT_FALSE(is_open(first));
}

TEST_F(replaced_server_test, listing_of_another_incarnation_opens_the_server)
{
    record_replaced();
    table.apply(listed(first, 6), now);
    EXPECT_TRUE(is_open(first));
}

TEST_F(replaced_server_test, listing_of_another_address_opens_the_server)
{
    record_replaced();
    table.apply(listed(first, 5, 3), now);
    EXPECT_TRUE(is_open(first));
}

// A faulty server may refuse requests in the same way.
TEST_F(replaced_server_test, server_that_stays_listed_is_tried_again)
{
    record_replaced();
    now += 8s;
    EXPECT_TRUE(is_open(first));
}

TEST_F(replaced_server_test, answer_to_an_earlier_incarnation_is_ignored)
{
    table.apply(listed(first, 6), now);
    EXPECT_FALSE(record_replaced(5));
    EXPECT_TRUE(is_open(first));
}

TEST_F(replaced_server_test, answers_at_the_same_time_count_once)
{
    EXPECT_TRUE(record_replaced());
    EXPECT_FALSE(record_replaced());
    now += 2s;
    EXPECT_TRUE(is_open(first));
}

TEST_F(replaced_server_test, answers_in_a_row_close_the_server_for_longer)
{
    record_replaced();
    now += 2s;
    EXPECT_TRUE(is_open(first));
    record_replaced();
    now += 2s;
    EXPECT_FALSE(is_open(first));
    now += 2s;
    EXPECT_TRUE(is_open(first));
}

} // namespace
} // namespace auburnweir::state
