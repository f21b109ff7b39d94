#include "coordination/store_pacing.hpp"

#include <gtest/gtest.h>

namespace auburnweir::coordination
{
namespace
{

using namespace std::chrono_literals;

class store_pacing_test : public testing::Test
{
protected:
    /// Calls of all instances per second.
    static double call_rate(std::uint64_t instances)
    {
        std::chrono::duration<double> const interval = paced_interval(100ms, 60s, instances);
        return static_cast<double>(instances) / interval.count();
    }
};

TEST_F(store_pacing_test, paced_interval_of_few_instances_is_shortest)
{
    EXPECT_EQ(paced_interval(700ms, 1600ms, 0), 700ms);
    EXPECT_EQ(paced_interval(700ms, 1600ms, 9), 700ms);
}

TEST_F(store_pacing_test, paced_interval_of_many_instances_keeps_total_rate)
{
    EXPECT_LE(call_rate(82), 61);
    EXPECT_LE(call_rate(195), 61);
    EXPECT_LE(call_rate(3000), 61);
}

TEST_F(store_pacing_test, paced_interval_never_exceeds_longest)
{
    EXPECT_EQ(paced_interval(700ms, 1600ms, 100000), 1600ms);
    EXPECT_EQ(paced_interval(700ms, 500ms, 100000), 700ms);
}

} // namespace
} // namespace auburnweir::coordination
