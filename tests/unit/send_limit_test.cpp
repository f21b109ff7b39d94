#include "coordination/request_shares.hpp"
#include "state/server_table.hpp"

#include <deque>
#include <gtest/gtest.h>
#include <random>

namespace auburnweir::coordination
{
namespace
{

using namespace std::chrono_literals;
using state::request_rate;

class send_limit_test : public testing::Test
{
protected:
    static state::listed_server listed(std::uint64_t incarnation = 1)
    {
        state::listed_server server;
        server.id = engine;
        server.incarnation = state::incarnation_number{incarnation};
        server.service = service;
        server.failure_domain = domain;
        return server;
    }

    void SetUp() override
    {
        table.apply(listed(), now);
        table.set_send_shares(equal_send_shares(1));
    }

    bool name_limit(std::optional<double> rate)
    {
        auto const limit = rate ? std::optional{request_rate{*rate}} : std::nullopt;
        return table.record_limit(engine, state::incarnation_number{1}, limit, now);
    }

    static inline state::backend_id const engine{"engine"};
    static inline state::service_id const service{"llm"};
    static inline state::failure_domain_id const domain{"a"};
    state::server_table table;
    state::time_point now{1h};
};

TEST_F(send_limit_test, server_without_limit_is_always_open)
{
    for (int i = 0; i < 100; ++i)
        EXPECT_TRUE(table.try_send(engine, now));
}

// Guards against LIMIT: requests beyond the rate that a server takes.
TEST_F(send_limit_test, server_with_limit_gets_no_more_than_its_rate)
{
    name_limit(2);
    int sent = 0;
    for (auto const end = now + 10s; now < end; now += 10ms)
        sent += table.try_send(engine, now) ? 1 : 0;
    EXPECT_GE(sent, 19);
    EXPECT_LE(sent, 20);
}

TEST_F(send_limit_test, limit_that_was_idle_saves_up_one_request)
{
    name_limit(2);
    now += 1h;
    EXPECT_TRUE(table.try_send(engine, now));
    EXPECT_FALSE(table.try_send(engine, now));
}

TEST_F(send_limit_test, closed_server_is_in_the_pool_with_its_time)
{
    name_limit(0.5);
    auto const pool = table.pool(service, now);
    EXPECT_TRUE(pool.open.empty());
    ASSERT_EQ(pool.closed.size(), 1U);
    EXPECT_EQ(pool.closed.front().until, now + 2s);
    now += 2s;
    EXPECT_EQ(table.pool(service, now).open.size(), 1U);
}

TEST_F(send_limit_test, ejected_server_that_is_closed_is_no_fallback)
{
    name_limit(0.5);
    table.eject(engine, now + 10s);
    EXPECT_TRUE(table.pool(service, now).open.empty());
    now += 2s;
    EXPECT_EQ(table.pool(service, now).open.size(), 1U);
}

TEST_F(send_limit_test, repeated_or_raised_limit_gives_no_request_at_once)
{
    name_limit(1);
    EXPECT_FALSE(name_limit(1));
    EXPECT_TRUE(name_limit(1.5));
    EXPECT_FALSE(table.try_send(engine, now));
}

TEST_F(send_limit_test, limit_that_is_no_longer_named_is_lifted)
{
    name_limit(1);
    EXPECT_TRUE(name_limit(std::nullopt));
    EXPECT_TRUE(table.try_send(engine, now));
    EXPECT_FALSE(table.has_limits());
}

TEST_F(send_limit_test, limit_of_zero_opens_rarely)
{
    name_limit(0);
    now += 9s;
    EXPECT_FALSE(table.try_send(engine, now));
    now += 2s;
    EXPECT_TRUE(table.try_send(engine, now));
}

TEST_F(send_limit_test, new_incarnation_has_no_limit_and_late_answers_of_the_old_set_none)
{
    name_limit(1);
    table.apply(listed(2), now);
    EXPECT_FALSE(name_limit(1));
    EXPECT_TRUE(table.try_send(engine, now));
}

/// A deployment before one server in need, which takes few requests from all instances together.
/// Callers are spread unevenly: instance i gets i + 1 parts of the requests. Instances report every
/// 900 ms.
class limited_server_load_test : public testing::TestWithParam<int>
{
protected:
    static constexpr int instances = 9;
    static constexpr int domains = 3;
    static constexpr auto step = 10ms;
    static constexpr double rate = 1.5; ///< of the server, requests a second

    static state::failure_domain_id domain_of(int instance)
    {
        return state::failure_domain_id{"domain-" + std::to_string(instance % domains)};
    }

    static state::instance_incarnation instance(int i)
    {
        return {state::instance_id{"i" + std::to_string(i)}, state::incarnation_number{1}};
    }

    void SetUp() override
    {
        state::listed_server server;
        server.id = engine;
        server.service = state::service_id{"llm"};
        server.failure_domain = domain_of(0);
        for (auto& table : tables)
        {
            table.apply(server, now);
            table.set_send_shares(equal_send_shares(instances));
            table.record_limit(engine, server.incarnation, request_rate{rate}, now);
        }
    }

    void report(int i)
    {
        shares.record(instance(i), domain_of(i), requests.at(i), now);
        if (auto const traffic = shares.shares_of(instance(i).id, now))
            tables.at(i).set_send_shares(send_shares_from(*traffic, domain_of(i)));
    }

    state::backend_id const engine{"engine"};
    std::array<state::server_table, instances> tables;
    std::array<std::uint64_t, instances> requests{};
    request_shares shares;
    state::time_point now{1h};
};

TEST_P(limited_server_load_test, requests_of_all_instances_stay_within_the_limit_and_use_it)
{
    constexpr auto window = 4s;
    constexpr double allowed = 1.5 * rate * 4 + 5;
    constexpr auto length = 60s;
    std::mt19937_64 random{static_cast<std::uint64_t>(GetParam())};
    std::deque<state::time_point> recent;
    int sent = 0;
    int steps = 0;
    for (auto const end = now + length; now < end; now += step, ++steps)
    {
        for (int i = 0; i < instances; ++i)
        {
            if ((steps + 10 * i) % 90 == 0)
                report(i);
            // Up to 9 requests a second; each third wants this server.
            if (random() % 100 >= static_cast<std::uint64_t>(i + 1))
                continue;
            ++requests.at(i);
            if (random() % 3 != 0 || !tables.at(i).try_send(engine, now))
                continue;
            ++sent;
            recent.push_back(now);
        }
        while (!recent.empty() && now - recent.front() > window)
            recent.pop_front();
        EXPECT_LE(static_cast<double>(recent.size()), allowed);
    }
    auto const whole = rate * std::chrono::duration<double>(length).count();
    EXPECT_LE(sent, whole + instances);
    EXPECT_GE(sent, whole / 2);
}

INSTANTIATE_TEST_SUITE_P(seeds, limited_server_load_test, testing::Range(1, 11));

class request_shares_test : public testing::Test
{
protected:
    void report(int number, std::string const& domain, std::uint64_t requests)
    {
        shares.record(
            {state::instance_id{std::to_string(number)}, state::incarnation_number{1}},
            state::failure_domain_id{domain}, requests, now);
    }

    std::optional<state::traffic_shares> shares_of(int number)
    {
        return shares.shares_of(state::instance_id{std::to_string(number)}, now);
    }

    request_shares shares;
    state::time_point now{1h};
};

TEST_F(request_shares_test, shares_are_unknown_until_all_have_reported)
{
    report(1, "a", 0);
    now += 1s;
    EXPECT_FALSE(shares_of(1));
}

TEST_F(request_shares_test, shares_follow_the_requests_and_add_up)
{
    for (std::uint64_t second = 0; second <= 3; ++second, now += 1s)
    {
        report(1, "a", 10 * second);
        report(2, "a", 30 * second);
        report(3, "b", 60 * second);
    }
    ASSERT_TRUE(shares_of(1) && shares_of(2) && shares_of(3));
    EXPECT_NEAR(shares_of(1)->own, 0.1, 0.001);
    EXPECT_NEAR(shares_of(3)->by_domain.at(state::failure_domain_id{"a"}), 0.4, 0.001);
    for (auto const* domain : {"a", "b", "c"})
    {
        state::failure_domain_id const of{domain};
        double sum = 0;
        for (int i = 1; i <= 3; ++i)
            sum += send_shares_from(*shares_of(i), state::failure_domain_id{i == 3 ? "b" : "a"})
                       .of(of);
        EXPECT_NEAR(sum, 1, 0.001) << domain;
    }
}

TEST_F(request_shares_test, silent_instance_and_late_counts_are_left_out)
{
    for (std::uint64_t second = 0; second <= 3; ++second, now += 1s)
    {
        report(1, "a", 10 * second);
        report(2, "a", 10 * second);
        report(2, "a", 5 * second);
    }
    EXPECT_NEAR(shares_of(1)->own, 0.5, 0.001);
    for (std::uint64_t second = 4; second <= 10; ++second, now += 1s)
        report(1, "a", 10 * second);
    EXPECT_NEAR(shares_of(1)->own, 1, 0.001);
    EXPECT_FALSE(shares_of(2));
}

} // namespace
} // namespace auburnweir::coordination
