#include "coordination/rendezvous.hpp"
#include "coordination/server_weights.hpp"

#include <gtest/gtest.h>
#include <string>

namespace auburnweir::coordination
{
namespace
{

using namespace std::chrono_literals;

class server_weights_test : public testing::Test
{
protected:
    state::server_view rated(state::duration interval, state::duration age) const
    {
        state::server_view v;
        v.rating = state::server_rating{};
        v.rating->event_interval = interval;
        v.rated_at = now - age;
        return v;
    }

    state::time_point now{1h};
};

// Guards against a reference that a slow minority or unknown servers shift.
TEST_F(server_weights_test, reference_of_intervals_with_unknown_ones_is_the_lower_quartile)
{
    EXPECT_EQ(reference_interval({0ms, 50ms, 20ms, 0ms, 21ms, 48ms, 22ms}), 21ms);
    EXPECT_EQ(reference_interval({0ms, 0ms}), 0ms);
    EXPECT_EQ(reference_interval({}), 0ms);
}

// Guards against weights that follow the noise of equally fast servers.
TEST_F(server_weights_test, weight_up_to_the_tolerance_is_one)
{
    EXPECT_DOUBLE_EQ(weight_of(10ms, 20ms), 1);
    EXPECT_DOUBLE_EQ(weight_of(26ms, 20ms), 1);
}

TEST_F(server_weights_test, weight_above_the_tolerance_is_the_cube_of_the_relative_speed)
{
    EXPECT_NEAR(weight_of(52ms, 20ms), 0.125, 1e-9);
}

// Guards against servers that never get a request again, so that their recovery is not seen.
TEST_F(server_weights_test, weight_of_a_very_slow_server_is_the_minimum)
{
    EXPECT_DOUBLE_EQ(weight_of(10s, 20ms), 0.02);
}

TEST_F(server_weights_test, weight_of_an_unknown_interval_is_one)
{
    EXPECT_DOUBLE_EQ(weight_of(0ms, 20ms), 1);
}

// Guards against old ratings, for example after the loss of the holder, that steer requests.
TEST_F(server_weights_test, weights_of_ratings_older_than_ten_seconds_are_one)
{
    std::vector const servers{
        rated(20ms, 1s), rated(20ms, 1s), rated(52ms, 10s), rated(52ms, 10001ms),
        state::server_view{}};
    auto const weights = server_weights(servers, now);
    EXPECT_DOUBLE_EQ(weights[0], 1);
    EXPECT_NEAR(weights[2], 0.125, 1e-9);
    EXPECT_DOUBLE_EQ(weights[3], 1);
    EXPECT_DOUBLE_EQ(weights[4], 1);
}

// Guards against weights that do not reach the selection: the share of keys must follow them.
TEST_F(server_weights_test, weighted_score_with_a_quarter_weight_gets_a_fifth_of_the_keys)
{
    constexpr int keys = 20000;
    int slow_first = 0;
    for (int i = 0; i < keys; ++i)
    {
        auto const key = "prompt-" + std::to_string(i);
        auto const fast = weighted_score(rendezvous_weight(key, "fast"), 1);
        auto const slow = weighted_score(rendezvous_weight(key, "slow"), 0.25);
        slow_first += slow > fast ? 1 : 0;
    }
    EXPECT_NEAR(slow_first / double{keys}, 0.2, 0.01);
}

// Guards against a bound that skips a server whose score is higher.
TEST_F(server_weights_test, min_hash_for_a_score_excludes_only_lower_scores)
{
    for (int i = 0; i < 1000; ++i)
    {
        auto const hash = rendezvous_weight("key", std::to_string(i));
        auto const score = weighted_score(hash, 1);
        EXPECT_LE(min_hash_for(score), hash);
        auto const excluded = min_hash_for(score);
        if (excluded > 0)
        {
            EXPECT_LT(weighted_score(excluded - 1, 0.5), score);
        }
    }
}

} // namespace
} // namespace auburnweir::coordination
