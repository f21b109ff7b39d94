#include "state/journal.hpp"

#include <gtest/gtest.h>

namespace auburnweir::state
{
namespace
{

using namespace std::chrono_literals;

class journal_test : public testing::Test
{
protected:
    journal_test()
    {
        request.header.id = request_id{"r"};
        request.header.organisation = organisation_id{"o"};
        subject.emplace(request, instance_id{"owner"}, generation_tag{"g1"});
        subject->begin_attempt(first_attempt);
    }

    std::vector<std::string> readable_tokens() { return subject->read_after({}, 100).tokens; }

    chat_request request;
    attempt_token first_attempt{"first"};
    attempt_token second_attempt{"second"};
    std::optional<journal> subject;
};

TEST_F(journal_test, append_of_a_superseded_attempt_changes_nothing)
{
    subject->append(first_attempt, "a");
    subject->begin_attempt(second_attempt);

    EXPECT_EQ(subject->append(first_attempt, "late"), append_result::superseded);
    EXPECT_EQ(subject->finish(first_attempt, finish_reason::stop), append_result::superseded);
    EXPECT_EQ(subject->text(), "a");
}

TEST_F(journal_test, held_tokens_are_readable_only_after_release)
{
    subject->hold();
    subject->append(first_attempt, "a");
    subject->append(first_attempt, "b");
    subject->finish(first_attempt, finish_reason::stop);
    EXPECT_TRUE(readable_tokens().empty());

    subject->release(sequence_number{1});
    EXPECT_EQ(readable_tokens(), (std::vector<std::string>{"a"}));
    EXPECT_FALSE(subject->read_after({}, 100).finish);

    subject->release(sequence_number{2});
    EXPECT_EQ(subject->read_after({}, 100).finish, finish_reason::stop);
}

TEST_F(journal_test, merge_with_a_gap_changes_nothing)
{
    journal_chunk const chunk{sequence_number{3}, {"c"}, std::nullopt};
    EXPECT_EQ(subject->merge(chunk), append_result::gap);
    EXPECT_EQ(subject->last(), sequence_number{0});
}

TEST_F(journal_test, merge_that_overlaps_appends_only_new_tokens)
{
    subject->append(first_attempt, "a");
    journal_chunk const chunk{sequence_number{1}, {"a", "b"}, finish_reason::length};
    EXPECT_EQ(subject->merge(chunk), append_result::appended);
    EXPECT_EQ(subject->merge(chunk), append_result::duplicate);
    EXPECT_EQ(subject->text(), "ab");
    EXPECT_EQ(subject->finished(), finish_reason::length);
}

TEST_F(journal_test, merge_with_different_tokens_is_diverged)
{
    subject->append(first_attempt, "a");
    journal_chunk const chunk{sequence_number{1}, {"x", "y"}, std::nullopt};
    EXPECT_EQ(subject->merge(chunk), append_result::diverged);
    EXPECT_EQ(subject->text(), "a");
}

TEST_F(journal_test, yield_of_a_held_journal_removes_unreleased_tokens)
{
    subject->hold();
    subject->append(first_attempt, "a");
    subject->release(sequence_number{1});
    subject->append(first_attempt, "unseen");

    subject->yield_to(instance_id{"other"});

    EXPECT_EQ(subject->text(), "a");
    EXPECT_EQ(subject->append(first_attempt, "late"), append_result::superseded);
    EXPECT_EQ(subject->owner(), instance_id{"other"});
}

TEST_F(journal_test, resume_beyond_the_adoption_point_is_refused_for_the_old_generation)
{
    subject->append(first_attempt, "a");
    subject->adopt(instance_id{"other"}, generation_tag{"g2"});
    subject->begin_attempt(second_attempt);
    subject->append(second_attempt, "b");

    EXPECT_TRUE(subject->can_resume({generation_tag{"g1"}, sequence_number{1}}));
    EXPECT_FALSE(subject->can_resume({generation_tag{"g1"}, sequence_number{2}}));
    EXPECT_TRUE(subject->can_resume({generation_tag{"g2"}, sequence_number{2}}));
    EXPECT_FALSE(subject->can_resume({generation_tag{"g9"}, sequence_number{1}}));
    EXPECT_TRUE(subject->can_resume({generation_tag{"g9"}, sequence_number{0}}));
}

TEST_F(journal_test, change_notifies_listeners_until_they_are_removed)
{
    int calls = 0;
    auto const key = subject->listen(journal_change::written, [&] { ++calls; });
    subject->append(first_attempt, "a");
    subject->unlisten(key);
    subject->append(first_attempt, "b");
    EXPECT_EQ(calls, 1);
}

TEST_F(journal_test, retired_journal_expires_after_its_retention)
{
    journal_table table;
    auto const opened = table.open(request, instance_id{"owner"}, generation_tag{"g"});
    ASSERT_TRUE(opened);
    EXPECT_FALSE(table.open(request, instance_id{"owner"}, generation_tag{"g"}));
    table.retire(opened, time_point{}, 10s);

    EXPECT_EQ(table.expire(time_point{9s}), 0U);
    EXPECT_EQ(table.expire(time_point{10s}), 1U);
    EXPECT_FALSE(table.find(organisation_id{"o"}, request_id{"r"}));
}

} // namespace
} // namespace auburnweir::state
