#include "coordination/liveness_check.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace auburnweir::coordination
{
namespace
{

using std::chrono::milliseconds;

state::time_point at(int ms)
{
    return state::time_point{milliseconds{ms}};
}

/// A server that had two responses ended with their connections, requested at 100 and 150 ms.
class liveness_check_test : public testing::Test
{
protected:
    liveness_check_test()
    {
        check.add({first, at(100), at(1200)});
        check.add({second, at(150), at(1300)});
    }

    /// Asks at 200 ms on a connection of `opened_at_ms`. @return the ends decided as outlived
    std::size_t outlived(int opened_at_ms, question_result const& result)
    {
        check.begin_question(at(opened_at_ms));
        auto const decided = check.end_question(result, at(210));
        return static_cast<std::size_t>(std::ranges::count_if(
            decided,
            [](auto const& end) { return end.process == process_state::outlived_response; }));
    }

    end_number first{1};
    end_number second{2};
    liveness_check check;
};

TEST_F(liveness_check_test, answer_on_an_earlier_connection_proves_all_ends)
{
    EXPECT_EQ(outlived(50, server_answered{}), 2U);
    EXPECT_FALSE(check.has_ends());
}

TEST_F(liveness_check_test, end_after_the_question_waits_for_the_next_one)
{
    check.begin_question(at(50));
    check.add({end_number{3}, at(160), at(1400)});
    EXPECT_FALSE(check.wants_question(at(205)));
    EXPECT_EQ(check.end_question(server_answered{}, at(210)).size(), 2U);
    EXPECT_TRUE(check.has_ends());
    EXPECT_TRUE(check.wants_question(at(210)));
}

// Guards against MIXED: a successor with the same id taken for the process that has died.
TEST_F(liveness_check_test, successor_after_the_end_of_an_open_connection_proves_nothing)
{
    EXPECT_EQ(outlived(50, open_connection_failed{}), 0U);
    EXPECT_TRUE(check.wants_question(at(210)));
    EXPECT_EQ(outlived(205, server_answered{}), 0U);
    EXPECT_FALSE(check.has_ends());
    check.add({end_number{3}, at(160), at(1400)});
    EXPECT_EQ(outlived(205, server_answered{}), 0U);
}

TEST_F(liveness_check_test, named_lifetime_decides_on_a_later_connection)
{
    EXPECT_EQ(outlived(50, open_connection_failed{}), 0U);
    EXPECT_EQ(outlived(205, server_answered{true}), 2U);
    check.add({end_number{3}, at(160), at(1400)});
    EXPECT_EQ(outlived(205, server_answered{false}), 0U);
    EXPECT_FALSE(check.has_ends());
}

TEST_F(liveness_check_test, answer_of_another_lifetime_proves_nothing_on_any_connection)
{
    EXPECT_EQ(outlived(50, server_answered{false}), 0U);
    EXPECT_FALSE(check.has_ends());
    check.add({first, at(100), at(1200)});
    EXPECT_EQ(outlived(205, server_answered{false}), 0U);
    EXPECT_FALSE(check.has_ends());
}

TEST_F(liveness_check_test, other_server_or_refused_connection_decides_at_once)
{
    for (question_result const& result :
         {question_result{other_server_answered{}}, question_result{connection_refused{}}})
    {
        check.add({first, at(100), at(1200)});
        EXPECT_EQ(outlived(205, result), 0U);
        EXPECT_FALSE(check.has_ends());
    }
}

// Guards against connections in quick succession to a server that resets them as it has too many.
TEST_F(liveness_check_test, questions_after_failed_connections_are_spaced)
{
    EXPECT_EQ(outlived(50, open_connection_failed{}), 0U);
    EXPECT_TRUE(check.wants_question(at(210)));
    EXPECT_EQ(outlived(205, open_connection_failed{}), 0U);
    EXPECT_FALSE(check.wants_question(at(210)));
    EXPECT_TRUE(check.wants_question(at(210) + liveness_check::retry_delay));
}

TEST_F(liveness_check_test, unsent_question_is_repeated_until_the_deadlines)
{
    EXPECT_EQ(outlived(205, question_unsent{}), 0U);
    EXPECT_FALSE(check.wants_question(at(210)));
    EXPECT_EQ(check.next_change(), at(210) + liveness_check::retry_delay);
    EXPECT_TRUE(check.wants_question(at(210) + liveness_check::retry_delay));
    EXPECT_EQ(check.expire(at(1200)).size(), 1U);
    EXPECT_EQ(check.expire(at(1300)).size(), 1U);
    EXPECT_FALSE(check.next_change());
}

} // namespace
} // namespace auburnweir::coordination
