#include "coordination/directory_update_limiter.hpp"

#include <gtest/gtest.h>
#include <set>

namespace auburnweir::coordination
{
namespace
{

using namespace std::chrono_literals;

/// The load of a new holder: every instance asks for the whole directory in each report period.
class directory_update_limiter_test : public testing::Test
{
protected:
    static state::instance_id instance(int i)
    {
        return state::instance_id{"entry-" + std::to_string(i)};
    }

    directory_update_limiter limiter;
    state::time_point start{10s};
};

TEST_F(directory_update_limiter_test, try_send_of_small_updates_is_not_limited)
{
    directory_update_limits const limits;
    for (int i = 0; i < 10000; ++i)
        EXPECT_TRUE(limiter.try_send(instance(1), limits.min_large - 1, start));
}

TEST_F(directory_update_limiter_test, try_send_to_instance_that_has_one_waits_for_its_report)
{
    EXPECT_TRUE(limiter.try_send(instance(1), 123, start));
    EXPECT_FALSE(limiter.try_send(instance(1), 123, start + 300ms));
    EXPECT_TRUE(limiter.try_send(instance(2), 123, start + 300ms));
    EXPECT_TRUE(limiter.try_send(instance(1), 123, start + 1500ms));
}

TEST_F(directory_update_limiter_test, try_send_to_three_hundred_instances_stays_below_rate)
{
    constexpr int instances = 300;
    constexpr std::size_t servers = 3000;
    constexpr int seconds = 10;
    std::size_t sent = 0;
    for (auto at = start; at < start + std::chrono::seconds{seconds}; at += 300ms)
        for (int i = 0; i < instances; ++i)
            if (limiter.try_send(instance(i), servers, at))
                sent += servers;
    directory_update_limits const limits;
    // One second's updates at once, and one update that is begun with a part of its size.
    EXPECT_LE(sent, (seconds + 1) * static_cast<std::size_t>(limits.servers_per_second) + servers);
    EXPECT_GE(sent, (seconds - 2) * static_cast<std::size_t>(limits.servers_per_second));
}

TEST_F(
    directory_update_limiter_test, try_send_to_two_hundred_instances_reaches_all_in_seven_seconds)
{
    constexpr int instances = 195;
    std::set<int> missing;
    for (int i = 0; i < instances; ++i)
        missing.insert(i);
    for (auto at = start; at < start + 7s; at += 300ms)
        std::erase_if(missing, [&](int i) { return limiter.try_send(instance(i), 123, at); });
    EXPECT_TRUE(missing.empty());
}

} // namespace
} // namespace auburnweir::coordination
