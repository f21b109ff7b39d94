#include "coordination/operation_run.hpp"

#include "state/overloaded.hpp"

#include <cassert>

namespace auburnweir::coordination
{

using state::overloaded;
using state::refusal_reason;
using state::run_outcome;

operation_run::operation_run(
    state::attempt_token attempt, state::instance_id owner, state::sha256_digest fingerprint,
    operation_limits limits)
    : attempt_(std::move(attempt))
    , owner_(std::move(owner))
    , fingerprint_(std::move(fingerprint))
    , limits_(limits)
{
}

operation_command operation_run::start()
{
    target_state_ = state::ledger_dispatched{};
    expect_ = state::row_version{0};
    return write_current();
}

operation_command operation_run::handle(operation_event const& event)
{
    return std::visit(
        overloaded{
            [&](ledger_write_done const& e) { return on_written(e); },
            [&](ledger_write_conflict const& e) { return on_row(e.current); },
            [&](ledger_row_read const& e) { return on_row(e.current); },
            [&](ledger_write_response_lost const&)
            {
                write_may_take_effect_ = write_may_take_effect_ || phase_ == phase::reserving;
                read_after_wait_ = true;
                return retry_store_call(read_row{});
            },
            [&](ledger_write_refused const&)
            {
                read_after_wait_ = false;
                return retry_store_call(wait{limits_.store_retry_delay});
            },
            [&](ledger_read_failed const&)
            {
                read_after_wait_ = true;
                return retry_store_call(wait{limits_.store_retry_delay});
            },
            [&](backend_answered const& e)
            { return record_result(state::ledger_answered{e.answer}); },
            [&](backend_did_not_run const&) { return record_result(state::ledger_released{}); },
            [&](backend_response_lost const&) { return record_result(state::ledger_unknown{}); },
            [&](wait_elapsed const&)
            { return read_after_wait_ ? operation_command{read_row{}} : write_current(); }},
        event);
}

state::ledger_record operation_run::record_with(state::ledger_state state) const
{
    return {attempt_, owner_, fingerprint_, std::move(state)};
}

operation_command operation_run::write_current()
{
    return write_row{record_with(target_state_), expect_};
}

operation_command operation_run::retry_store_call(operation_command retry)
{
    if (++store_attempts_ >= limits_.max_store_attempts)
        return give_up_on_store();
    return retry;
}

operation_command operation_run::on_written(ledger_write_done const& e)
{
    store_attempts_ = 0;
    expect_ = e.version;
    if (phase_ == phase::recording)
        return finish_with_result(true);
    assert(phase_ == phase::reserving && !dispatched_);
    phase_ = phase::dispatched;
    dispatched_ = true;
    return dispatch{};
}

operation_command operation_run::on_row(std::optional<state::ledger_row> const& row)
{
    if (!row)
    {
        // Either this run's insert did not take effect or the row has expired. Both allow an
        // insert.
        expect_ = state::row_version{0};
        read_after_wait_ = false;
        return retry_store_call(write_current());
    }
    if (row->record.attempt == attempt_)
        return on_own_row(*row);
    if (phase_ == phase::recording)
        return finish_with_result(false);
    return on_foreign_row(*row);
}

operation_command operation_run::on_own_row(state::ledger_row const& row)
{
    if (row.record.state == target_state_)
        return on_written({row.version});
    expect_ = row.version;
    read_after_wait_ = false;
    return retry_store_call(write_current());
}

operation_command operation_run::on_foreign_row(state::ledger_row const& row)
{
    if (std::holds_alternative<state::ledger_released>(row.record.state))
    {
        expect_ = row.version;
        read_after_wait_ = false;
        phase_ = phase::reserving;
        return retry_store_call(write_current());
    }
    if (row.record.fingerprint != fingerprint_)
        return refuse(refusal_reason::key_reused, run_outcome::not_run);
    return std::visit(
        overloaded{
            [&](state::ledger_answered const& a) -> operation_command
            {
                phase_ = phase::done;
                return reply_answer{a.answer, true, true};
            },
            [&](state::ledger_dispatched const&) -> operation_command
            {
                if (++polls_ > limits_.max_polls)
                    return refuse(refusal_reason::key_in_flight, run_outcome::outcome_unknown);
                store_attempts_ = 0;
                phase_ = phase::polling;
                read_after_wait_ = true;
                return wait{limits_.poll_delay};
            },
            [&](auto const&) -> operation_command
            { return refuse(refusal_reason::outcome_unknown, run_outcome::outcome_unknown); }},
        row.record.state);
}

operation_command operation_run::give_up_on_store()
{
    if (phase_ == phase::recording)
        return finish_with_result(false);
    if (phase_ == phase::polling)
        return refuse(refusal_reason::store_unavailable, run_outcome::outcome_unknown);
    return refuse(refusal_reason::store_unavailable, run_outcome::not_run, write_may_take_effect_);
}

operation_command operation_run::finish_with_result(bool stored)
{
    return std::visit(
        overloaded{
            [&](state::ledger_answered const& a) -> operation_command
            {
                phase_ = phase::done;
                return reply_answer{a.answer, false, stored};
            },
            [&](state::ledger_released const&)
            { return refuse(refusal_reason::backend_failed, run_outcome::not_run, !stored); },
            [&](auto const&)
            { return refuse(refusal_reason::outcome_unknown, run_outcome::outcome_unknown); }},
        target_state_);
}

operation_command operation_run::record_result(state::ledger_state result)
{
    assert(phase_ == phase::dispatched);
    phase_ = phase::recording;
    store_attempts_ = 0;
    target_state_ = std::move(result);
    return write_current();
}

operation_command operation_run::refuse(
    state::refusal_reason reason, state::run_outcome outcome, bool release_needed)
{
    phase_ = phase::done;
    return reply_refusal{reason, outcome, release_needed};
}

} // namespace auburnweir::coordination
