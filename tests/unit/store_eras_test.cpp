#include "state/store_eras.hpp"

#include <gtest/gtest.h>

namespace auburnweir::state
{
namespace
{

using namespace std::chrono_literals;
using observation = store_eras::observation;

/// An instance that sees responses of a store that may come back from an older copy.
class store_eras_test : public testing::Test
{
protected:
    observation observe(std::uint64_t era, std::uint64_t version, duration at)
    {
        return eras.observe({store_era{era}, row_version{version}}, time_point{at});
    }

    store_eras eras;
};

TEST_F(store_eras_test, observe_first_response_begins_no_era)
{
    EXPECT_EQ(observe(3, 70, 1s), observation::current);
    EXPECT_EQ(eras.current(), store_era{3});
    EXPECT_FALSE(eras.began_at());
    EXPECT_FALSE(eras.may_be_copied(row_version{1}));
}

TEST_F(store_eras_test, observe_higher_era_begins_it_and_rows_up_to_its_version_may_be_copied)
{
    observe(1, 70, 1s);
    EXPECT_EQ(observe(2, 60, 5s), observation::began);
    EXPECT_EQ(observe(2, 62, 6s), observation::current);
    EXPECT_EQ(eras.began_at(), time_point{5s});
    EXPECT_TRUE(eras.may_be_copied(row_version{60}));
    EXPECT_FALSE(eras.may_be_copied(row_version{61}));
}

TEST_F(store_eras_test, observe_late_response_of_earlier_era_is_outdated)
{
    observe(2, 60, 5s);
    EXPECT_EQ(observe(1, 90, 6s), observation::outdated);
    EXPECT_EQ(eras.current(), store_era{2});
}

TEST_F(store_eras_test, position_of_later_era_is_higher_whatever_its_version)
{
    EXPECT_LT(
        (store_position{store_era{1}, row_version{76}}),
        (store_position{store_era{2}, row_version{60}}));
}

} // namespace
} // namespace auburnweir::state
