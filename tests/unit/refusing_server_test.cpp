#include "coordination/server_choice.hpp"

#include <gtest/gtest.h>

namespace auburnweir::state
{
namespace
{

using namespace std::chrono_literals;

/// A server that refuses requests beside one in another failure domain that serves them.
class refusing_server_test : public testing::Test
{
protected:
    static listed_server listed(backend_id id, failure_domain_id domain)
    {
        listed_server server;
        server.id = std::move(id);
        server.service = service;
        server.failure_domain = std::move(domain);
        return server;
    }

    refusing_server_test()
    {
        table.apply(listed(near, own_domain), now);
        table.apply(listed(far, failure_domain_id{"far"}), now);
    }

    void refuse() { end(near, server_outcome::refused); }

    void end(backend_id const& id, server_outcome outcome)
    {
        table.try_send(id, now);
        table.record_end(id, outcome, now);
    }

    backend_id chosen()
    {
        coordination::choice_request request;
        request.failure_domain = own_domain;
        return coordination::choose_server(
                   coordination::nearest_least_loaded{}, table.pool(service, now).open, request,
                   now, random)
            ->listed.id;
    }

    /// Time until requests go to the near server again.
    duration avoided_for()
    {
        auto const began_at = now;
        while (chosen() == far)
            now += 10ms;
        return now - began_at;
    }

    static inline backend_id const near{"near"};
    static inline backend_id const far{"far"};
    static inline service_id const service{"desk"};
    static inline failure_domain_id const own_domain{"own"};
    server_table table;
    std::mt19937_64 random{1};
    time_point now{1h};
};

TEST_F(refusing_server_test, server_that_refused_once_is_avoided_for_a_moment)
{
    EXPECT_EQ(chosen(), near);
    refuse();
    auto const time = avoided_for();
    EXPECT_GE(time, 300ms);
    EXPECT_LE(time, 350ms);
}

// Guards against CONFIG: where requests are rarer than the shortest time, each went to the server
// that refuses, and the retry budget was spent.
TEST_F(refusing_server_test, rare_requests_reach_server_that_refuses_all_ever_less_often)
{
    int refused = 0;
    for (auto const end_at = now + 20s; now < end_at; now += 400ms)
    {
        if (chosen() == far)
            continue;
        refuse();
        ++refused;
    }
    EXPECT_LE(refused, 7);
}

// A server that is full for a moment refuses all that is on its way.
TEST_F(refusing_server_test, refusals_at_the_same_time_count_once)
{
    for (int i = 0; i < 20; ++i)
        refuse();
    EXPECT_LE(avoided_for(), 350ms);
}

TEST_F(refusing_server_test, answer_ends_the_row_of_refusals)
{
    for (int i = 0; i < 3; ++i)
    {
        refuse();
        avoided_for();
        end(near, server_outcome::answered);
    }
    refuse();
    EXPECT_LE(avoided_for(), 350ms);
}

TEST_F(refusing_server_test, answer_shortens_the_time_after_many_refusals)
{
    for (int i = 0; i < 3; ++i)
    {
        refuse();
        avoided_for();
    }
    refuse();
    now += 1s;
    end(near, server_outcome::answered);
    EXPECT_EQ(chosen(), near);
}

// The last server that is left is asked, whatever it has refused before.
TEST_F(refusing_server_test, only_server_is_asked_although_it_refused)
{
    table.remove(far, std::nullopt);
    refuse();
    EXPECT_EQ(chosen(), near);
}

} // namespace
} // namespace auburnweir::state
