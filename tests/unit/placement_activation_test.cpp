#include "coordination/placement_activation.hpp"

#include <gtest/gtest.h>

namespace auburnweir::coordination
{
namespace
{

using namespace std::chrono_literals;

class placement_activation_test : public testing::Test
{
protected:
    static state::route route_to(
        std::string const& service, state::duration objective, bool streaming = true)
    {
        state::route r;
        r.id = state::route_id{service + std::to_string(objective.count())};
        r.host = "models.example";
        r.prefix = "/" + r.id.str() + "/";
        r.streaming = streaming;
        r.carries_prompt = streaming;
        r.latency_objective = objective;
        r.targets.push_back({state::service_id{service}, 1});
        return r;
    }

    static state::route_set_ptr routes(std::vector<state::route> const& all)
    {
        state::route_set::builder builder;
        for (auto const& r : all)
            builder.add(r);
        return builder.build();
    }

    state::service_id chat{"chat"};
    state::route_set_ptr competing = routes({route_to("chat", 500ms), route_to("chat", 1500ms)});
    state::route_set_ptr similar = routes({route_to("chat", 600ms), route_to("chat", 1000ms)});
};

TEST_F(placement_activation_test, objectives_that_differ_by_a_factor_of_three_compete)
{
    EXPECT_TRUE(objectives_compete(*competing, chat));
    EXPECT_FALSE(
        objectives_compete(*routes({route_to("chat", 500ms), route_to("chat", 1499ms)}), chat));
}

// Guards against routes without objective, of other services or without streams that count.
TEST_F(placement_activation_test, objectives_of_routes_that_do_not_count_do_not_compete)
{
    auto const others = routes(
        {route_to("chat", 500ms), route_to("chat", 0ms), route_to("chat", 5s, false),
         route_to("batch", 9s)});
    EXPECT_FALSE(objectives_compete(*others, chat));
    EXPECT_FALSE(objectives_compete(*routes({}), chat));
}

TEST_F(placement_activation_test, automatic_setting_needs_a_work_factor_or_competing_objectives)
{
    auto const automatic = placement_setting::automatic;
    EXPECT_FALSE(has_uneven_placement(*similar, chat, automatic, false));
    EXPECT_TRUE(has_uneven_placement(*similar, chat, automatic, true));
    EXPECT_TRUE(has_uneven_placement(*competing, chat, automatic, false));
}

TEST_F(placement_activation_test, explicit_settings_override_what_is_observed)
{
    EXPECT_TRUE(has_uneven_placement(*similar, chat, placement_setting::uneven, false));
    EXPECT_FALSE(has_uneven_placement(*competing, chat, placement_setting::even, true));
}

TEST_F(placement_activation_test, setting_named_as_in_the_settings_is_found)
{
    EXPECT_EQ(placement_setting_named("automatic"), placement_setting::automatic);
    EXPECT_EQ(placement_setting_named("uneven"), placement_setting::uneven);
    EXPECT_EQ(placement_setting_named("even"), placement_setting::even);
}

// Guards against a table that keeps the placement of an older configuration.
TEST_F(placement_activation_test, table_with_new_routes_computes_the_placement_again)
{
    placement_table table(placement_setting::automatic);
    EXPECT_EQ(table.of(similar, chat), (service_placement{false, false}));
    EXPECT_EQ(table.of(competing, chat), (service_placement{true, true}));
    EXPECT_EQ(table.of(similar, chat), (service_placement{false, false}));
}

// Guards against a service that alternates between both placements with each report.
TEST_F(placement_activation_test, table_keeps_a_work_factor_seen_once)
{
    placement_table table(placement_setting::automatic);
    EXPECT_FALSE(table.of(similar, chat).uneven);
    table.record_work_factor(chat);
    EXPECT_EQ(table.of(similar, chat), (service_placement{true, false}));
    EXPECT_TRUE(table.of(routes({route_to("chat", 600ms)}), chat).uneven);
}

// Guards against lanes of services whose placement is even.
TEST_F(placement_activation_test, table_with_even_setting_separates_no_lanes)
{
    placement_table table(placement_setting::even);
    EXPECT_EQ(table.of(competing, chat), (service_placement{false, false}));
}

TEST_F(placement_activation_test, uneven_services_are_those_whose_requests_carry_prompts)
{
    placement_table table(placement_setting::uneven);
    auto const both = routes({route_to("chat", 600ms), route_to("plain", 600ms, false)});
    EXPECT_EQ(table.uneven_services(both), std::set{chat});
    EXPECT_TRUE(table.uneven_services(nullptr).empty());
}

} // namespace
} // namespace auburnweir::coordination
