#include "state/evacuation_table.hpp"

#include <gtest/gtest.h>

namespace auburnweir::state
{
namespace
{

using namespace std::chrono_literals;
using domain_names = std::set<std::string>;

/// An instance that learns of evacuations from the store and from the holder of the duties, with
/// servers in two domains.
class evacuation_table_test : public testing::Test
{
protected:
    evacuation_table_test()
    {
        for (auto const* name : {"east", "west"})
        {
            listed_server server;
            server.id = backend_id{name};
            server.service = service;
            server.failure_domain = failure_domain_id{name};
            servers.apply(server, start);
        }
    }

    static store_position at(std::uint64_t era, std::uint64_t version)
    {
        return {store_era{era}, row_version{version}};
    }

    static std::set<failure_domain_id> domains(domain_names const& names)
    {
        std::set<failure_domain_id> result;
        for (auto const& name : names)
            result.emplace(name);
        return result;
    }

    evacuation_change read_all(store_position position, domain_names const& listed, duration time)
    {
        return table.apply({position, true, domains(listed), {}, start + time});
    }

    evacuation_change read_changes(
        store_position position, domain_names const& listed, domain_names const& removed,
        duration time)
    {
        return table.apply({position, false, domains(listed), domains(removed), start + time});
    }

    evacuation_change respond(store_position position, domain_names const& names, duration time)
    {
        return table.apply(evacuations{position, domains(names)}, start + time);
    }

    /// Domains whose servers get requests.
    domain_names open() const
    {
        domain_names result;
        for (auto const& view : servers.pool(service, start).open)
            result.insert(view.listed.failure_domain.str());
        return result;
    }

    static inline service_id const service{"desk"};
    time_point start{1h};
    server_table servers;
    evacuation_table table{servers};
};

TEST_F(evacuation_table_test, listed_domain_is_evacuated_until_its_row_is_removed)
{
    auto change = read_all(at(1, 10), {"east"}, 0s);
    EXPECT_EQ(change.began, std::vector{failure_domain_id{"east"}});
    EXPECT_EQ(open(), domain_names{"west"});
    EXPECT_FALSE(servers.try_send(backend_id{"east"}, start));
    EXPECT_EQ(servers.pool(service, start).barred, 1U);
    change = read_changes(at(1, 12), {"west"}, {"east"}, 1s);
    EXPECT_EQ(change.began, std::vector{failure_domain_id{"west"}});
    EXPECT_EQ(change.ended, std::vector{failure_domain_id{"east"}});
    EXPECT_EQ(open(), domain_names{"east"});
    EXPECT_TRUE(servers.try_send(backend_id{"east"}, start));
}

TEST_F(evacuation_table_test, domain_absent_from_whole_listing_of_same_era_is_used_again)
{
    read_all(at(1, 10), {"east"}, 0s);
    read_all(at(1, 90), {}, 1s);
    EXPECT_EQ(open(), (domain_names{"east", "west"}));
}

// Guards against a slow response that brings back what a faster one has removed.
TEST_F(evacuation_table_test, listing_older_than_the_last_one_changes_nothing)
{
    read_all(at(1, 10), {}, 0s);
    read_changes(at(1, 20), {}, {"east"}, 2s);
    read_changes(at(1, 15), {"east"}, {}, 1s);
    EXPECT_EQ(open(), (domain_names{"east", "west"}));
}

// Guards against an instance that the store refuses and that keeps sending.
TEST_F(evacuation_table_test, response_of_holder_alone_begins_and_ends_an_evacuation)
{
    respond(at(1, 10), {"east"}, 0s);
    EXPECT_EQ(open(), domain_names{"west"});
    EXPECT_EQ(table.current()->complete_to, at(1, 10));
    respond(at(1, 12), {}, 1s);
    EXPECT_EQ(open(), (domain_names{"east", "west"}));
}

// Guards against a holder without the store that takes back what this instance has read.
TEST_F(evacuation_table_test, source_with_newer_position_takes_precedence)
{
    read_all(at(1, 10), {}, 0s);
    respond(at(1, 20), {"east"}, 0s);
    EXPECT_EQ(open(), domain_names{"west"});
    read_changes(at(1, 30), {"west"}, {}, 1s);
    EXPECT_EQ(open(), domain_names{"east"});
    respond(at(1, 25), {"east"}, 2s);
    EXPECT_EQ(open(), domain_names{"east"});
    respond(at(1, 31), {"east"}, 3s);
    EXPECT_EQ(open(), domain_names{"west"});
}

// Guards against a copy that has lost the row: requests are sent until operators write it again.
TEST_F(evacuation_table_test, domain_absent_from_a_new_era_stays_evacuated_while_copy_is_in_doubt)
{
    read_all(at(1, 50), {"east"}, 0s);
    read_all(at(2, 40), {}, 10s);
    EXPECT_EQ(open(), domain_names{"west"});
    EXPECT_EQ(table.current()->domains, domains({"east"}));
    read_changes(at(2, 41), {}, {}, 13900ms);
    EXPECT_EQ(open(), domain_names{"west"});
    auto const change = read_changes(at(2, 42), {}, {}, 14s);
    EXPECT_EQ(change.ended, std::vector{failure_domain_id{"east"}});
    EXPECT_EQ(open(), (domain_names{"east", "west"}));
}

TEST_F(evacuation_table_test, row_written_again_in_a_new_era_stays_in_force_after_the_doubt)
{
    read_all(at(1, 50), {"east"}, 0s);
    read_all(at(2, 40), {}, 10s);
    read_changes(at(2, 41), {"east"}, {}, 12s);
    read_changes(at(2, 42), {}, {}, 20s);
    EXPECT_EQ(open(), domain_names{"west"});
}

// Guards against a row that was removed before the copy was restored, and that nobody can end.
TEST_F(evacuation_table_test, row_of_copy_is_in_force_until_it_is_removed_again)
{
    read_all(at(1, 50), {}, 0s);
    read_all(at(2, 40), {"east"}, 10s);
    EXPECT_EQ(open(), domain_names{"west"});
    read_changes(at(2, 41), {}, {"east"}, 11s);
    EXPECT_EQ(open(), (domain_names{"east", "west"}));
}

// Guards against an instance that starts on the copy and has never seen the lost row.
TEST_F(evacuation_table_test, domain_that_holder_keeps_in_doubt_is_evacuated_at_started_instance)
{
    read_all(at(2, 60), {}, 0s);
    respond(at(2, 55), {"east"}, 1s);
    EXPECT_EQ(open(), domain_names{"west"});
    read_changes(at(2, 70), {}, {}, 4s);
    EXPECT_EQ(open(), (domain_names{"east", "west"}));
}

// Guards against a holder that has started on the copy and does not know the lost row.
TEST_F(evacuation_table_test, holder_that_does_not_list_a_domain_in_a_new_era_ends_it_after_doubt)
{
    read_all(at(1, 50), {"east"}, 0s);
    respond(at(2, 40), {}, 10s);
    EXPECT_EQ(open(), domain_names{"west"});
    respond(at(2, 40), {}, 15s); // read no later than before: it may have been in doubt
    EXPECT_EQ(open(), domain_names{"west"});
    respond(at(2, 45), {}, 16s);
    EXPECT_EQ(open(), (domain_names{"east", "west"}));
}

TEST_F(evacuation_table_test, current_before_any_listing_is_unknown)
{
    EXPECT_FALSE(table.current());
    read_all(at(1, 10), {}, 0s);
    EXPECT_EQ(table.current(), (evacuations{at(1, 10), {}}));
}

/// A request with permitted domains, against servers in two domains.
TEST_F(evacuation_table_test, server_in_domain_that_is_not_permitted_is_barred)
{
    permitted_domains const east{domains({"east"})};
    auto const pool = servers.pool(service, start, east);
    ASSERT_EQ(pool.open.size(), 1U);
    EXPECT_EQ(pool.open[0].listed.id, backend_id{"east"});
    EXPECT_EQ(pool.barred, 1U);
    EXPECT_FALSE(servers.try_send(backend_id{"west"}, start, east));
    EXPECT_TRUE(servers.try_send(backend_id{"east"}, start, east));
}

} // namespace
} // namespace auburnweir::state
