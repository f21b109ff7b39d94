#include "coordination/attempt_policy.hpp"

#include "state/overloaded.hpp"

namespace auburnweir::coordination
{

namespace
{

using state::give_up_reason;
using state::refusal_reason;
using state::retry_reason;

bool may_run_again(attempt_progress const& p)
{
    if (p.possibly_executed >= p.max_possibly_executed)
        return false;
    return p.retry != state::repeat_rule::at_most_once;
}

bool worth_a_send(attempt_progress const& p, attempt_limits const& limits)
{
    return p.attempts < limits.max_attempts && p.time_left >= limits.min_time_left;
}

give_up_reason why_not(attempt_progress const& p, attempt_limits const& limits, bool budget_left)
{
    if (p.retry == state::repeat_rule::at_most_once)
        return give_up_reason::not_idempotent;
    if (p.possibly_executed >= p.max_possibly_executed || p.attempts >= limits.max_attempts)
        return give_up_reason::attempts_exhausted;
    return budget_left ? give_up_reason::deadline_too_close : give_up_reason::budget_exhausted;
}

} // namespace

bool may_retry(attempt_progress const& progress, attempt_limits const& limits)
{
    return may_run_again(progress) && worth_a_send(progress, limits);
}

attempt_decision decide_attempt(
    failed_attempt_kind const& failed, attempt_progress const& progress, bool budget_left,
    attempt_limits const& limits)
{
    bool const again = budget_left && worth_a_send(progress, limits);
    return std::visit(
        state::overloaded{
            [&](attempt_failed const&) -> attempt_decision
            {
                // A stream's error answer comes before any event, so it can still be replaced.
                if (again && may_run_again(progress) && !progress.response_begun)
                    return retry_elsewhere{retry_reason::backend_error};
                return relay_response{};
            },
            [&](attempt_not_run const& f) -> attempt_decision
            {
                if (again)
                    return retry_elsewhere{f.cause};
                if (progress.possibly_executed > 0)
                    return reply_outcome_unknown{
                        refusal_reason::backend_failed, why_not(progress, limits, budget_left)};
                return reply_not_run{
                    f.cause == retry_reason::connect_failed ? refusal_reason::no_backend
                                                            : refusal_reason::backend_full};
            },
            [&](attempt_lost const& f) -> attempt_decision
            {
                if (again && may_run_again(progress))
                    return retry_elsewhere{
                        f.timed_out ? retry_reason::stream_stalled : retry_reason::stream_cut};
                return reply_outcome_unknown{
                    f.timed_out ? refusal_reason::deadline_exceeded
                                : refusal_reason::backend_failed,
                    why_not(progress, limits, budget_left)};
            }},
        failed);
}

} // namespace auburnweir::coordination
