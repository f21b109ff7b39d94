#include "coordination/attempt_policy.hpp"

#include "state/overloaded.hpp"

namespace auburnweir::coordination
{

namespace
{

using state::give_up_reason;
using state::refusal_reason;
using state::retry_reason;

bool may_execute_again(attempt_progress const& progress)
{
    if (progress.possibly_executed >= progress.max_possibly_executed)
        return false;
    return progress.retry != state::retry_rule::at_most_once;
}

bool another_attempt_is_worthwhile(attempt_progress const& progress, attempt_limits const& limits)
{
    return progress.attempts < limits.max_attempts && progress.time_left >= limits.min_time_left;
}

/// Why an attempt that may run again, or has not run, is not followed by another.
give_up_reason give_up_cause_of_repeatable(
    attempt_progress const& progress, attempt_limits const& limits, bool budget_left)
{
    if (progress.attempts >= limits.max_attempts)
        return give_up_reason::attempts_exhausted;
    return budget_left ? give_up_reason::deadline_too_close : give_up_reason::budget_exhausted;
}

give_up_reason give_up_cause(
    attempt_progress const& progress, attempt_limits const& limits, bool budget_left)
{
    if (progress.retry == state::retry_rule::at_most_once)
        return give_up_reason::not_idempotent;
    if (progress.possibly_executed >= progress.max_possibly_executed)
        return give_up_reason::attempts_exhausted;
    return give_up_cause_of_repeatable(progress, limits, budget_left);
}

} // namespace

bool may_retry(attempt_progress const& progress, attempt_limits const& limits)
{
    return may_execute_again(progress) && another_attempt_is_worthwhile(progress, limits);
}

bool may_follow_refusal(attempt_progress const& progress, attempt_limits const& limits)
{
    auto after_next = progress;
    ++after_next.attempts;
    return another_attempt_is_worthwhile(after_next, limits);
}

attempt_decision decide_attempt(
    failed_attempt_kind const& failed, attempt_progress const& progress, bool budget_left,
    attempt_limits const& limits)
{
    bool const can_retry = budget_left && another_attempt_is_worthwhile(progress, limits);
    return std::visit(
        state::overloaded{
            [&](attempt_failed const& attempt) -> attempt_decision
            {
                if (can_retry && may_execute_again(progress))
                    return retry_elsewhere{retry_reason::backend_error};
                bool const is_false =
                    attempt.status_denies_run && progress.retry != state::retry_rule::idempotent;
                if (progress.response_begun || is_false)
                    return reply_outcome_unknown{
                        refusal_reason::backend_failed,
                        give_up_cause(progress, limits, budget_left)};
                return relay_response{};
            },
            [&](attempt_not_run const& attempt) -> attempt_decision
            {
                if (can_retry)
                    return retry_elsewhere{attempt.cause};
                if (progress.possibly_executed > 0)
                    return reply_outcome_unknown{
                        refusal_reason::backend_failed,
                        give_up_cause(progress, limits, budget_left)};
                bool const has_no_link = attempt.cause == retry_reason::connect_failed ||
                                         attempt.cause == retry_reason::relay_refused;
                return reply_not_run{
                    has_no_link ? refusal_reason::no_backend : refusal_reason::backend_full,
                    give_up_cause_of_repeatable(progress, limits, budget_left)};
            },
            [&](attempt_lost const& attempt) -> attempt_decision
            {
                if (can_retry && may_execute_again(progress))
                    return retry_elsewhere{
                        attempt.timed_out ? retry_reason::stream_stalled
                                          : retry_reason::stream_cut};
                return reply_outcome_unknown{
                    attempt.timed_out ? refusal_reason::deadline_exceeded
                                      : refusal_reason::backend_failed,
                    give_up_cause(progress, limits, budget_left)};
            },
            [&](attempt_truncated const&) -> attempt_decision
            {
                if (can_retry && may_execute_again(progress))
                    return retry_elsewhere{retry_reason::stream_truncated};
                return reply_outcome_unknown{
                    refusal_reason::backend_failed, give_up_cause(progress, limits, budget_left)};
            },
            [&](attempt_unbuffered const&) -> attempt_decision
            {
                if (can_retry && may_execute_again(progress))
                    return retry_elsewhere{retry_reason::response_memory_exhausted};
                return reply_outcome_unknown{
                    refusal_reason::response_memory_exhausted,
                    give_up_cause(progress, limits, budget_left)};
            }},
        failed);
}

} // namespace auburnweir::coordination
