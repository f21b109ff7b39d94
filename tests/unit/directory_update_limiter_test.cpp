#include "coordination/directory_update_limiter.hpp"

#include <gtest/gtest.h>
#include <set>

namespace auburnweir::coordination
{
namespace
{

using namespace std::chrono_literals;
using state::directory_version;

/// The load of a new holder: every instance asks for the directory in each report period.
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

TEST_F(directory_update_limiter_test, may_send_waits_for_acknowledgement_of_the_last_update)
{
    EXPECT_TRUE(limiter.may_send(instance(1), directory_version{0}, start));
    limiter.record_sent(instance(1), directory_version{7}, start);
    EXPECT_FALSE(limiter.may_send(instance(1), directory_version{6}, start + 300ms));
    EXPECT_TRUE(limiter.may_send(instance(1), directory_version{7}, start + 300ms));
    EXPECT_TRUE(limiter.may_send(instance(2), directory_version{0}, start + 300ms));
}

TEST_F(directory_update_limiter_test, may_send_after_lost_update_sends_again)
{
    limiter.record_sent(instance(1), directory_version{7}, start);
    EXPECT_TRUE(limiter.may_send(instance(1), directory_version{6}, start + 1500ms));
}

TEST_F(directory_update_limiter_test, try_send_of_small_changes_is_not_limited)
{
    for (int i = 0; i < 10000; ++i)
        EXPECT_TRUE(limiter.try_send(directory_update_limits{}.min_large - 1, false, start));
}

TEST_F(directory_update_limiter_test, try_send_for_three_hundred_instances_stays_below_rate)
{
    constexpr int instances = 300;
    constexpr std::size_t servers = 3000;
    constexpr int seconds = 10;
    std::size_t sent = 0;
    for (auto at = start; at < start + std::chrono::seconds{seconds}; at += 300ms)
        for (int i = 0; i < instances; ++i)
            if (limiter.try_send(servers, false, at))
                sent += servers;
    auto const rate = static_cast<std::size_t>(directory_update_limits{}.servers_per_second);
    // One second's updates at once, and one update that is begun with a part of its size.
    EXPECT_LE(sent, (seconds + 1) * rate + servers);
    EXPECT_GE(sent, (seconds - 2) * rate);
}

TEST_F(
    directory_update_limiter_test,
    try_send_of_copies_for_two_hundred_instances_reaches_all_in_four_seconds)
{
    constexpr int instances = 195;
    std::set<int> missing;
    for (int i = 0; i < instances; ++i)
        missing.insert(i);
    for (auto at = start; at < start + 4s; at += 300ms)
        std::erase_if(missing, [&](int) { return limiter.try_send(123, true, at); });
    EXPECT_TRUE(missing.empty());
}

} // namespace
} // namespace auburnweir::coordination
