#include "transport/server_selector.hpp"

#include "platform/cloud_client.hpp"
#include "platform/format.hpp"
#include "platform/headers.hpp"
#include "platform/store_client.hpp"

#include <gtest/gtest.h>

namespace auburnweir::transport
{
namespace
{

using namespace std::chrono_literals;
using state::failure_domain_id;
using state::region_id;

/// One request of a route that lists regions, with a server in the east and two in the west.
class server_selector_test : public testing::Test
{
protected:
    server_selector_test()
    {
        list("east-1", "domain-east");
        list("west-1", "domain-west");
        list("west-2", "domain-west");
    }

    void list(std::string const& id, std::string const& domain)
    {
        state::listed_server server;
        server.id = state::backend_id{id};
        server.service = service;
        server.failure_domain = failure_domain_id{domain};
        tables.servers.apply(server, now());
    }

    /// Applies the next configuration, in which the route has these regions.
    state::route_set_ptr configure(state::region_list regions)
    {
        state::route route;
        route.id = state::route_id{"chat"};
        route.host = "calls.test";
        route.prefix = "/chat/";
        route.targets = {{service, 1}};
        route.regions = std::move(regions);
        state::route_set::builder builder;
        builder.version(state::configuration_version{++version}).add(std::move(route));
        tables.routes.apply(builder.build());
        return tables.routes.current();
    }

    static state::region_list listed(std::set<std::string> const& names)
    {
        std::set<region_id> regions;
        for (auto const& name : names)
            regions.emplace(name);
        return regions;
    }

    /// The selector of a request that the configuration in force admits.
    server_selector selector()
    {
        auto const routes = tables.routes.current();
        auto const* route = routes->find("calls.test", "/chat/x");
        request_placement placement(
            context, {"calls.test", "/chat/x", "", route->id, {}}, routes,
            coordination::placement_of(*route, nullptr, settings.domain_regions));
        return {context,
                workers.at(0),
                service,
                {},
                coordination::nearest_least_loaded{},
                std::move(placement)};
    }

    /// Domain of the server that is selected, or `closed`, `none left` or `not permitted`.
    static std::string select(server_selector& from)
    {
        return std::visit(
            state::overloaded{
                [](server_selected const& s) { return s.server.listed.failure_domain.str(); },
                [](servers_closed) { return std::string{"closed"}; },
                [](no_server_left) { return std::string{"none left"}; },
                [](no_server_permitted) { return std::string{"not permitted"}; }},
            from.select(true));
    }

    static inline state::service_id const service{"desk"};
    std::uint64_t version = 0;
    protocol::gateway_settings settings = []
    {
        protocol::gateway_settings s;
        s.domain_regions = {
            {failure_domain_id{"domain-east"}, region_id{"east"}},
            {failure_domain_id{"domain-west"}, region_id{"west"}}};
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
};

TEST_F(server_selector_test, retry_of_restricted_request_stays_in_permitted_region)
{
    configure(listed({"west"}));
    auto request = selector();
    EXPECT_EQ(select(request), "domain-west");
    EXPECT_TRUE(request.has_alternative());
    EXPECT_EQ(select(request), "domain-west");
    EXPECT_FALSE(request.has_alternative());
    EXPECT_EQ(select(request), "none left");
}

// Guards against a retry into a region that the operators have withdrawn since the first attempt.
TEST_F(server_selector_test, regions_withdrawn_between_attempts_get_no_retry)
{
    configure(std::nullopt);
    auto request = selector();
    auto const first = select(request);
    configure(listed({"east"}));
    bool const east_is_left = first != "domain-east";
    EXPECT_EQ(request.has_alternative(), east_is_left);
    EXPECT_EQ(select(request), east_is_left ? "domain-east" : "none left");
    EXPECT_EQ(select(request), "none left");
}

// Guards against a retry into a region that the caller was never promised.
TEST_F(server_selector_test, regions_added_between_attempts_are_not_used)
{
    configure(listed({"east"}));
    auto request = selector();
    EXPECT_EQ(select(request), "domain-east");
    configure(std::nullopt);
    EXPECT_FALSE(request.has_alternative());
    EXPECT_EQ(select(request), "none left");
}

TEST_F(server_selector_test, regions_replaced_between_attempts_leave_no_permitted_server)
{
    configure(listed({"east"}));
    auto request = selector();
    configure(listed({"west"}));
    EXPECT_EQ(select(request), "not permitted");
    configure(listed({"east"}));
    EXPECT_EQ(select(request), "not permitted");
    auto later = selector();
    EXPECT_EQ(select(later), "domain-east");
}

TEST_F(server_selector_test, route_with_malformed_list_reaches_no_server)
{
    configure(std::set<region_id>{});
    auto request = selector();
    EXPECT_EQ(select(request), "not permitted");
    EXPECT_FALSE(request.has_alternative());
}

// Guards against servers of a domain that the settings do not map to a region.
TEST_F(server_selector_test, server_in_unknown_domain_gets_no_restricted_request)
{
    list("other", "domain-other");
    configure(listed({"east"}));
    auto request = selector();
    EXPECT_EQ(select(request), "domain-east");
    EXPECT_EQ(select(request), "none left");
}

TEST_F(server_selector_test, service_without_servers_has_none_left)
{
    for (auto const* id : {"east-1", "west-1", "west-2"})
        tables.servers.remove(state::backend_id{id}, std::nullopt);
    configure(listed({"east"}));
    auto request = selector();
    EXPECT_EQ(select(request), "none left");
}

TEST_F(server_selector_test, evacuation_between_attempts_gets_no_retry)
{
    configure(std::nullopt);
    auto request = selector();
    tables.evacuations.apply(
        state::evacuations{
            {state::store_era{1}, state::row_version{9}}, {failure_domain_id{"domain-west"}}},
        now());
    EXPECT_EQ(select(request), "domain-east");
    EXPECT_EQ(select(request), "none left");
    tables.evacuations.apply(
        state::evacuations{
            {state::store_era{1}, state::row_version{10}},
            {failure_domain_id{"domain-west"}, failure_domain_id{"domain-east"}}},
        now());
    auto later = selector();
    EXPECT_EQ(select(later), "not permitted");
}

} // namespace
} // namespace auburnweir::transport
