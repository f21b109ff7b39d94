#include "coordination/service_reach.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace auburnweir::coordination
{
namespace
{

using namespace std::chrono_literals;

/// An instance that uses the nine servers of one service.
class service_reach_test : public testing::Test
{
protected:
    static constexpr std::size_t servers = 9;

    static state::backend_id server(int number)
    {
        return state::backend_id{"server-" + std::to_string(number)};
    }

    void fail(int number, link_failure failure = link_failure::connect_failed)
    {
        reach.record_failure(service, server(number), failure, servers, now);
    }

    reach_change answer_probe(bool connected)
    {
        return reach.record_probe(service, connected, {server(7)}, now);
    }

    /// Loses the links to all servers.
    void lose_service()
    {
        fail(1);
        fail(2);
        reach.take_due_probes(now);
        answer_probe(false);
        reach.take_due_probes(now);
        answer_probe(false);
    }

    state::service_id service{"desk"};
    state::time_point now{1000s};
    service_reach reach;
};

TEST_F(service_reach_test, failure_of_one_server_causes_no_probe)
{
    fail(1);
    fail(1);
    EXPECT_TRUE(reach.take_due_probes(now).empty());
    EXPECT_FALSE(reach.is_unreachable(service));
}

TEST_F(service_reach_test, only_server_of_a_service_is_probed_after_its_first_failure)
{
    reach.record_failure(service, server(1), link_failure::lost, 1, now);
    EXPECT_EQ(reach.take_due_probes(now).size(), 1u);
}

TEST_F(service_reach_test, response_on_new_connection_between_failures_causes_no_probe)
{
    fail(1);
    reach.record_contact(service, server(3), true, now);
    fail(2);
    EXPECT_TRUE(reach.take_due_probes(now).empty());
}

// Connections that were open before a cut may live on while new ones fail.
TEST_F(service_reach_test, response_on_old_connection_does_not_hide_failed_connects)
{
    fail(1);
    reach.record_contact(service, server(3), false, now);
    fail(2);
    EXPECT_EQ(reach.take_due_probes(now).size(), 1u);
}

TEST_F(service_reach_test, probe_names_failed_servers_and_runs_once)
{
    fail(1);
    fail(2);
    auto const due = reach.take_due_probes(now);
    ASSERT_EQ(due.size(), 1u);
    EXPECT_EQ(due[0].failed, (std::set{server(1), server(2)}));
    EXPECT_TRUE(reach.take_due_probes(now).empty());
}

// A cut towards a part of the servers must not send all requests through other instances.
TEST_F(service_reach_test, service_is_lost_only_after_second_probe_of_more_servers_fails)
{
    fail(1);
    fail(2);
    auto const first = reach.take_due_probes(now);
    EXPECT_EQ(answer_probe(false), reach_change::none);
    EXPECT_FALSE(reach.is_unreachable(service));
    auto const second = reach.take_due_probes(now);
    ASSERT_EQ(second.size(), 1u);
    EXPECT_GT(second[0].max_servers, first[0].max_servers);
    EXPECT_EQ(answer_probe(false), reach_change::lost);
    EXPECT_TRUE(reach.is_unreachable(service));
}

TEST_F(service_reach_test, crashes_in_turn_with_sound_servers_keep_service_reachable)
{
    for (int i = 0; i < 20; ++i, now += 10ms)
    {
        fail(1);
        fail(2);
        for (std::size_t due = reach.take_due_probes(now).size(); due > 0; --due)
            EXPECT_EQ(answer_probe(true), reach_change::none);
    }
    EXPECT_FALSE(reach.is_unreachable(service));
}

TEST_F(service_reach_test, lost_service_is_probed_at_one_server_from_time_to_time)
{
    lose_service();
    int probes = 0;
    for (int i = 0; i < 100; ++i, now += 50ms)
        for (auto const& due : reach.take_due_probes(now))
        {
            ++probes;
            EXPECT_EQ(due.max_servers, 1u);
            answer_probe(false);
        }
    EXPECT_LE(probes, 10);
    EXPECT_GE(probes, 8);
}

TEST_F(service_reach_test, connection_to_lost_service_regains_it_at_once)
{
    lose_service();
    EXPECT_EQ(answer_probe(true), reach_change::regained);
    EXPECT_FALSE(reach.is_unreachable(service));
}

TEST_F(service_reach_test, failure_soon_after_the_service_was_regained_is_probed)
{
    lose_service();
    answer_probe(true);
    now += 1s;
    fail(1);
    EXPECT_EQ(reach.take_due_probes(now).size(), 1u);
}

// A server that is listed after all others have ended must get requests at once.
TEST_F(service_reach_test, server_listed_after_the_loss_may_be_reached)
{
    auto const before = now - 1s;
    EXPECT_TRUE(reach.may_reach(service, before));
    lose_service();
    EXPECT_FALSE(reach.may_reach(service, before));
    EXPECT_TRUE(reach.may_reach(service, now + 1s));
}

TEST_F(service_reach_test, other_service_is_not_affected)
{
    lose_service();
    EXPECT_FALSE(reach.is_unreachable(state::service_id{"other"}));
    EXPECT_EQ(reach.unreachable().size(), 1u);
}

// CONFIG: a service with few requests, added routes among them, was found lost seconds later than
// one with many, and its requests waited for their deadline meanwhile.
TEST_F(service_reach_test, failed_probe_of_a_service_has_the_others_probed)
{
    state::service_id const other{"with-few-requests"};
    reach.record_contact(other, state::backend_id{"other-1"}, true, now);
    fail(1);
    fail(2);
    reach.take_due_probes(now);
    answer_probe(false);
    auto const due = reach.take_due_probes(now);
    EXPECT_TRUE(
        std::ranges::any_of(due, [&](auto const& probe) { return probe.service == other; }));
    reach.record_probe(other, true, {}, now);
    EXPECT_FALSE(reach.is_unreachable(other));
}

TEST_F(service_reach_test, answered_probe_of_a_service_has_no_other_probed)
{
    reach.record_contact(state::service_id{"other"}, state::backend_id{"other-1"}, true, now);
    fail(1);
    fail(2);
    reach.take_due_probes(now);
    answer_probe(true);
    EXPECT_TRUE(reach.take_due_probes(now).empty());
}

/// A server that broke off a request.
class link_verdict_test : public service_reach_test
{
protected:
    link_verdict verdict() { return reach.link_to(service, server(1), lost_at, now); }

    state::time_point lost_at = now;
};

TEST_F(link_verdict_test, contact_with_other_server_since_shows_sound_link)
{
    reach.record_contact(service, server(2), false, now + 10ms);
    EXPECT_EQ(verdict(), link_verdict::sound);
}

TEST_F(link_verdict_test, contact_with_the_same_server_shows_nothing)
{
    reach.record_contact(service, server(2), false, now - 10ms);
    reach.record_contact(service, server(1), false, now + 10ms);
    EXPECT_EQ(verdict(), link_verdict::unknown);
}

TEST_F(link_verdict_test, unknown_link_is_probed)
{
    reach.record_contact(service, server(2), false, now - 10ms);
    EXPECT_EQ(verdict(), link_verdict::unknown);
    EXPECT_EQ(reach.take_due_probes(now).size(), 1u);
    now += 20ms;
    answer_probe(true);
    EXPECT_EQ(verdict(), link_verdict::sound);
}

TEST_F(link_verdict_test, lost_service_shows_cut)
{
    lose_service();
    EXPECT_EQ(verdict(), link_verdict::cut);
}

} // namespace
} // namespace auburnweir::coordination
