#include "coordination/operation_run.hpp"

#include <gtest/gtest.h>

namespace auburnweir::coordination
{
namespace
{

using state::ledger_answered;
using state::ledger_dispatched;
using state::ledger_record;
using state::ledger_row;
using state::row_version;

class operation_run_test : public testing::Test
{
protected:
    operation_run run{
        state::attempt_token{"mine"}, state::instance_id{"entry-1"},
        state::sha256_digest{"digest"}};

    ledger_row row_of(char const* attempt, state::ledger_state s, char const* digest = "digest")
    {
        return {
            row_version{7},
            {state::attempt_token{attempt}, state::instance_id{"entry-2"},
             state::sha256_digest{digest}, std::move(s)}};
    }

    operation_command dispatched()
    {
        run.start();
        return run.handle(ledger_write_done{row_version{1}});
    }

    static reply_refusal refusal(operation_command const& c) { return std::get<reply_refusal>(c); }

    static state::operation_answer answer() { return {200, "text/plain", "booked"}; }
};

TEST_F(operation_run_test, start_writes_dispatched_where_the_row_is_absent)
{
    auto const command = run.start();

    auto const& write = std::get<write_row>(command);
    EXPECT_EQ(write.expect, row_version{0});
    EXPECT_TRUE(std::holds_alternative<ledger_dispatched>(write.record.state));
    EXPECT_FALSE(run.was_dispatched());
}

TEST_F(operation_run_test, write_done_dispatches)
{
    EXPECT_TRUE(std::holds_alternative<dispatch>(dispatched()));
    EXPECT_TRUE(run.was_dispatched());
}

TEST_F(operation_run_test, lost_write_that_took_effect_dispatches_after_reading_the_row)
{
    run.start();
    auto const command = run.handle(ledger_write_response_lost{});
    EXPECT_TRUE(std::holds_alternative<read_row>(command));

    auto const settled = run.handle(ledger_row_read{row_of("mine", ledger_dispatched{})});

    EXPECT_TRUE(std::holds_alternative<dispatch>(settled));
}

TEST_F(operation_run_test, lost_write_that_did_not_take_effect_is_written_again)
{
    run.start();
    run.handle(ledger_write_response_lost{});

    auto const command = run.handle(ledger_row_read{std::nullopt});

    EXPECT_TRUE(std::holds_alternative<write_row>(command));
}

TEST_F(operation_run_test, refusing_store_refuses_as_not_run)
{
    auto command = run.start();
    while (!std::holds_alternative<reply_refusal>(command))
        command = std::holds_alternative<wait>(command) ? run.handle(wait_elapsed{})
                                                        : run.handle(ledger_write_refused{});

    EXPECT_EQ(refusal(command).reason, state::refusal_reason::store_unavailable);
    EXPECT_EQ(refusal(command).outcome, state::run_outcome::not_run);
    EXPECT_FALSE(refusal(command).release_needed);
}

TEST_F(operation_run_test, unresponsive_store_refuses_as_not_run_and_needs_a_release)
{
    run.start();
    auto command = run.handle(ledger_write_response_lost{});
    while (!std::holds_alternative<reply_refusal>(command))
        command = std::holds_alternative<wait>(command) ? run.handle(wait_elapsed{})
                                                        : run.handle(ledger_read_failed{});

    EXPECT_EQ(refusal(command).outcome, state::run_outcome::not_run);
    EXPECT_TRUE(refusal(command).release_needed);
}

TEST_F(operation_run_test, answer_is_recorded_before_it_is_returned)
{
    dispatched();

    auto const recording = run.handle(backend_answered{answer()});
    ASSERT_TRUE(std::holds_alternative<write_row>(recording));
    auto const reply = run.handle(ledger_write_done{row_version{2}});

    EXPECT_EQ(std::get<reply_answer>(reply).answer, answer());
    EXPECT_FALSE(std::get<reply_answer>(reply).replayed);
    EXPECT_TRUE(std::get<reply_answer>(reply).stored);
}

TEST_F(operation_run_test, answer_is_returned_when_it_cannot_be_recorded)
{
    dispatched();
    auto command = run.handle(backend_answered{answer()});
    while (!std::holds_alternative<reply_answer>(command))
        command = std::holds_alternative<wait>(command) ? run.handle(wait_elapsed{})
                                                        : run.handle(ledger_write_refused{});

    EXPECT_FALSE(std::get<reply_answer>(command).stored);
}

TEST_F(operation_run_test, lost_backend_response_ends_as_outcome_unknown)
{
    dispatched();
    run.handle(backend_response_lost{});

    auto const command = run.handle(ledger_write_done{row_version{2}});

    EXPECT_EQ(refusal(command).outcome, state::run_outcome::outcome_unknown);
}

TEST_F(operation_run_test, backend_that_did_not_run_releases_the_key)
{
    dispatched();
    auto const command = run.handle(backend_did_not_run{});

    auto const& write = std::get<write_row>(command);
    EXPECT_TRUE(std::holds_alternative<state::ledger_released>(write.record.state));
    auto const reply = run.handle(ledger_write_done{row_version{2}});
    EXPECT_EQ(refusal(reply).outcome, state::run_outcome::not_run);
    EXPECT_FALSE(refusal(reply).release_needed);
}

TEST_F(operation_run_test, answered_key_replays_the_stored_answer)
{
    run.start();

    auto const command =
        run.handle(ledger_write_conflict{row_of("theirs", ledger_answered{answer()})});

    EXPECT_TRUE(std::get<reply_answer>(command).replayed);
    EXPECT_FALSE(run.was_dispatched());
}

TEST_F(operation_run_test, key_with_another_body_is_refused)
{
    run.start();

    auto const command =
        run.handle(ledger_write_conflict{row_of("theirs", ledger_answered{answer()}, "other")});

    EXPECT_EQ(refusal(command).reason, state::refusal_reason::key_reused);
}

TEST_F(operation_run_test, key_in_progress_at_another_attempt_is_polled_and_then_refused)
{
    run.start();
    auto command = run.handle(ledger_write_conflict{row_of("theirs", ledger_dispatched{})});
    int polls = 0;
    while (std::holds_alternative<wait>(command))
    {
        ++polls;
        ASSERT_TRUE(std::holds_alternative<read_row>(run.handle(wait_elapsed{})));
        command = run.handle(ledger_row_read{row_of("theirs", ledger_dispatched{})});
    }

    EXPECT_EQ(polls, operation_limits{}.max_polls);
    EXPECT_EQ(refusal(command).reason, state::refusal_reason::key_in_flight);
    EXPECT_EQ(refusal(command).outcome, state::run_outcome::outcome_unknown);
}

TEST_F(operation_run_test, released_key_is_reserved_again_at_its_version)
{
    run.start();

    auto const command =
        run.handle(ledger_write_conflict{row_of("theirs", state::ledger_released{}, "other")});

    EXPECT_EQ(std::get<write_row>(command).expect, row_version{7});
}

} // namespace
} // namespace auburnweir::coordination
