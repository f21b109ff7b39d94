#include "state/route_history.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace auburnweir::state;

class route_history_test : public testing::Test
{
protected:
    static route made(std::string const& prefix, std::string const& service = "desk")
    {
        route r;
        r.id = route_id{"r" + prefix};
        r.host = "shop.example";
        r.prefix = prefix;
        r.targets = {{service_id{service}, 1}};
        return r;
    }

    static route_set_ptr version(std::uint64_t number, std::vector<route> const& routes)
    {
        route_set::builder builder;
        builder.version(configuration_version{number});
        for (auto const& r : routes)
            builder.add(r);
        return builder.build();
    }

    route_history history;
};

TEST_F(route_history_test, routes_of_the_first_version_are_not_added)
{
    EXPECT_EQ(0u, history.record(*version(4, {made("/a/"), made("/b/")})));
    EXPECT_FALSE(history.added_in(made("/a/")));
}

TEST_F(route_history_test, route_of_a_later_version_names_that_version)
{
    history.record(*version(4, {made("/a/")}));
    EXPECT_EQ(1u, history.record(*version(7, {made("/a/"), made("/b/")})));
    history.record(*version(9, {made("/a/"), made("/b/")}));
    EXPECT_EQ(configuration_version{7}, history.added_in(made("/b/")));
    EXPECT_FALSE(history.added_in(made("/a/")));
}

TEST_F(route_history_test, route_whose_service_changes_is_not_added)
{
    history.record(*version(4, {made("/a/")}));
    EXPECT_EQ(0u, history.record(*version(7, {made("/a/", "kitchen")})));
    EXPECT_FALSE(history.added_in(made("/a/", "kitchen")));
}

TEST_F(route_history_test, route_that_was_removed_is_added_by_its_return)
{
    history.record(*version(4, {made("/a/"), made("/b/")}));
    history.record(*version(7, {made("/a/")}));
    EXPECT_EQ(1u, history.record(*version(9, {made("/a/"), made("/b/")})));
    EXPECT_EQ(configuration_version{9}, history.added_in(made("/b/")));
}

} // namespace
