#include "state/memory_budget.hpp"

#include <gtest/gtest.h>

namespace auburnweir::state
{
namespace
{

class memory_budget_test : public testing::Test
{
protected:
    memory_budget budget{byte_count{100}};
};

TEST_F(memory_budget_test, try_grow_within_capacity_reserves)
{
    memory_reservation reservation(budget);
    EXPECT_TRUE(reservation.try_grow(byte_count{60}));
    EXPECT_TRUE(reservation.try_grow(byte_count{40}));
    EXPECT_EQ(budget.in_use(), byte_count{100});
}

TEST_F(memory_budget_test, try_grow_beyond_capacity_changes_nothing)
{
    memory_reservation first(budget);
    memory_reservation second(budget);
    EXPECT_TRUE(first.try_grow(byte_count{60}));
    EXPECT_FALSE(second.try_grow(byte_count{41}));
    EXPECT_EQ(budget.in_use(), byte_count{60});
    EXPECT_TRUE(second.try_grow(byte_count{40}));
}

TEST_F(memory_budget_test, reservation_at_end_of_life_returns_its_bytes)
{
    {
        memory_reservation reservation(budget);
        EXPECT_TRUE(reservation.try_grow(byte_count{100}));
        memory_reservation const moved(std::move(reservation));
        EXPECT_EQ(budget.in_use(), byte_count{100});
    }
    EXPECT_EQ(budget.in_use(), byte_count{0});
}

} // namespace
} // namespace auburnweir::state
