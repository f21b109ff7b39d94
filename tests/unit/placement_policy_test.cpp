#include "coordination/placement_policy.hpp"

#include "platform/format.hpp"

#include <gtest/gtest.h>

namespace auburnweir::coordination
{
namespace
{

using state::any_domain;
using state::failure_domain_id;
using state::permitted_domains;
using state::placement_rule;
using state::region_id;

/// Regions that routes and organisations permit, with two domains in the east and one in the west.
class placement_policy_test : public testing::Test
{
protected:
    static state::region_list listed(std::set<std::string> const& names)
    {
        std::set<region_id> regions;
        for (auto const& name : names)
            regions.emplace(name);
        return regions;
    }

    static placement_rule some(std::set<std::string> const& names)
    {
        permitted_domains rule;
        for (auto const& name : names)
            rule.domains.emplace(name);
        return rule;
    }

    placement_rule rule() const { return placement_of(route, &organisation, regions); }

    /// A configuration with the route and the organisation as they are now.
    state::route_set_ptr configuration() const
    {
        state::route_set::builder builder;
        builder.add(route).add(organisation, {"key-1"});
        return builder.build();
    }

    placement_rule rule_in(state::route_set_ptr const& newer) const
    {
        return placement_in(*newer, request, regions);
    }

    placement_policy_test()
    {
        route.id = state::route_id{"chat"};
        route.host = "calls.test";
        route.prefix = "/chat/";
        organisation.id = state::organisation_id{"acme"};
    }

    domain_regions regions{
        {failure_domain_id{"e1"}, region_id{"east"}},
        {failure_domain_id{"e2"}, region_id{"east"}},
        {failure_domain_id{"w1"}, region_id{"west"}}};
    state::route route;
    state::organisation_quota organisation;
    placed_request request{
        "calls.test", "/chat/x", "key-1", state::route_id{"chat"}, state::organisation_id{"acme"}};
};

TEST_F(placement_policy_test, rule_without_lists_permits_any_domain)
{
    EXPECT_EQ(rule(), placement_rule{any_domain{}});
    EXPECT_TRUE(permits(rule(), failure_domain_id{"unknown"}));
}

// Guards against a route's list that is ignored for an organisation with its own.
TEST_F(placement_policy_test, rule_of_route_and_organisation_permits_regions_of_both_lists_only)
{
    route.regions = listed({"east", "north"});
    EXPECT_EQ(rule(), some({"e1", "e2"}));
    organisation.regions = listed({"east", "west"});
    EXPECT_EQ(rule(), some({"e1", "e2"}));
    organisation.regions = listed({"west"});
    EXPECT_EQ(rule(), some({}));
    route.regions.reset();
    EXPECT_EQ(rule(), some({"w1"}));
}

// Guards against a domain of unknown region that is taken for one in a permitted region.
TEST_F(placement_policy_test, domain_without_known_region_is_not_permitted_by_any_list)
{
    route.regions = listed({"east", "west", ""});
    EXPECT_FALSE(permits(rule(), failure_domain_id{"unknown"}));
    EXPECT_FALSE(permits(rule(), failure_domain_id{}));
}

TEST_F(placement_policy_test, intersection_permits_what_both_rules_permit)
{
    placement_rule const any = any_domain{};
    EXPECT_EQ(intersection(any, any), any);
    EXPECT_EQ(intersection(any, some({"e1"})), some({"e1"}));
    EXPECT_EQ(intersection(some({"e1"}), any), some({"e1"}));
    EXPECT_EQ(intersection(some({"e1", "w1"}), some({"e2", "w1"})), some({"w1"}));
    EXPECT_EQ(intersection(some({"e1"}), some({"w1"})), some({}));
}

// Guards against a restriction that a newer configuration adds, and that is not found as the route
// or the organisation is looked up by only one of its properties.
TEST_F(placement_policy_test, rule_in_newer_configuration_finds_renamed_and_moved_owners)
{
    route.regions = listed({"east"});
    EXPECT_EQ(rule_in(configuration()), some({"e1", "e2"}));
    route.prefix = "/talk/";
    EXPECT_EQ(rule_in(configuration()), some({"e1", "e2"}));
    route.prefix = "/chat/";
    route.id = state::route_id{"renamed"};
    EXPECT_EQ(rule_in(configuration()), some({"e1", "e2"}));
    organisation.regions = listed({"west"});
    EXPECT_EQ(rule_in(configuration()), some({}));
    route.regions.reset();
    organisation.id = state::organisation_id{"renamed"};
    EXPECT_EQ(rule_in(configuration()), some({"w1"}));
}

TEST_F(placement_policy_test, rule_in_configuration_without_the_route_adds_no_restriction)
{
    EXPECT_EQ(rule_in(state::route_set::builder{}.build()), placement_rule{any_domain{}});
}

/// The operators' lists of regions, as the platform encodes them.
class region_list_format_test : public testing::Test
{
protected:
    /// Regions of a route with this value of the field; none for an empty text.
    state::region_list route_regions(std::string const& value)
    {
        return decode(field(value), "")->find("calls.test", "/chat/x")->regions;
    }

    state::region_list organisation_regions(std::string const& value)
    {
        return decode("", field(value))->organisations().at(0).regions;
    }

    static std::string field(std::string const& value)
    {
        return value.empty() ? "" : R"(,"allowedRegions":)" + value;
    }

    state::route_set_ptr decode(std::string const& route, std::string const& organisation)
    {
        findings.clear();
        return format.configuration(
            R"({"version":7,"routes":[{"name":"chat","host":"calls.test","prefix":"/chat/")" +
                route + R"(}],"tenants":[{"name":"acme","apiKeys":["key-1"])" + organisation +
                "}]}",
            findings);
    }

    platform::format format;
    state::findings findings;
};

TEST_F(region_list_format_test, absent_or_empty_list_permits_any_region)
{
    for (auto const* value : {"", "[]"})
    {
        EXPECT_FALSE(route_regions(value)) << value;
        EXPECT_FALSE(organisation_regions(value)) << value;
        EXPECT_TRUE(findings.empty());
    }
}

TEST_F(region_list_format_test, list_of_names_permits_them)
{
    std::set<region_id> const expected{region_id{"east"}, region_id{"west"}};
    EXPECT_EQ(route_regions(R"(["east","west"])"), expected);
    EXPECT_EQ(organisation_regions(R"(["east","west"])"), expected);
    EXPECT_TRUE(findings.empty());
}

// Guards against requests that run anywhere because the list that restricts them can't be read.
TEST_F(region_list_format_test, malformed_list_permits_no_region_and_is_a_finding)
{
    for (auto const* value :
         {R"("east")", "null", "{}", R"({"east":true})", "7", "true", R"(["east",""])",
          R"(["east",7])", R"([null])", R"([["east"]])"})
    {
        EXPECT_EQ(route_regions(value), std::set<region_id>{}) << value;
        ASSERT_EQ(findings.size(), 1U) << value;
        EXPECT_EQ(findings[0].key, "routes.chat");
        EXPECT_EQ(organisation_regions(value), std::set<region_id>{}) << value;
        ASSERT_EQ(findings.size(), 1U) << value;
        EXPECT_EQ(findings[0].key, "tenants.acme");
    }
}

TEST_F(region_list_format_test, key_of_an_evacuation_names_its_domain)
{
    EXPECT_EQ(format.evacuated_domain("evacuate/east-1"), failure_domain_id{"east-1"});
    for (auto const* key : {"evacuate/", "evacuate", "config", "rollout/evacuate/east-1"})
        EXPECT_FALSE(format.evacuated_domain(key)) << key;
}

} // namespace
} // namespace auburnweir::coordination
