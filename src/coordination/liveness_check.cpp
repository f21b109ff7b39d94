#include "coordination/liveness_check.hpp"

#include "state/overloaded.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

void liveness_check::add(connection_end end)
{
    ends_[end.number].end = end;
}

bool liveness_check::wants_question(state::time_point now) const
{
    return !question_opened_at_ && has_ends() && now >= not_before_;
}

std::optional<state::time_point> liveness_check::next_change() const
{
    std::optional<state::time_point> next;
    for (auto const& [number, waiting] : ends_)
        next = std::min(next.value_or(waiting.end.deadline), waiting.end.deadline);
    if (next && !question_opened_at_)
        next = std::min(*next, not_before_);
    return next;
}

void liveness_check::begin_question(state::time_point opened_at)
{
    question_opened_at_ = opened_at;
    for (auto& [number, waiting] : ends_)
        waiting.is_asked_for = true;
}

std::optional<process_state> liveness_check::decide(
    connection_end const& end, question_result const& result) const
{
    using decision = std::optional<process_state>;
    return std::visit(
        state::overloaded{
            [&](server_answered const& answer) -> decision
            {
                if (answer.is_listed_life == false)
                    return process_state::unknown;
                bool const was_open = *question_opened_at_ <= end.requested_at;
                bool const may_be_successor =
                    open_connection_failed_at_ && end.requested_at <= *open_connection_failed_at_;
                bool const is_same = was_open || answer.is_listed_life || !may_be_successor;
                return is_same ? process_state::outlived_response : process_state::unknown;
            },
            [](other_server_answered const&) -> decision { return process_state::unknown; },
            [](connection_refused const&) -> decision { return process_state::unknown; },
            [](open_connection_failed const&) -> decision { return std::nullopt; },
            [](question_unsent const&) -> decision { return std::nullopt; }},
        result);
}

std::vector<decided_end> liveness_check::end_question(
    question_result const& result, state::time_point now)
{
    std::vector<decided_end> decided;
    for (auto at = ends_.begin(); at != ends_.end();)
    {
        auto& waiting = at->second;
        auto const process = waiting.is_asked_for ? decide(waiting.end, result) : std::nullopt;
        if (process)
        {
            decided.push_back({at->first, *process});
            at = ends_.erase(at);
            continue;
        }
        waiting.is_asked_for = false;
        ++at;
    }
    if (std::holds_alternative<open_connection_failed>(result))
        record_failed_connection(now);
    question_opened_at_.reset();
    bool const is_failed = std::holds_alternative<open_connection_failed>(result);
    bool const is_unanswered = is_failed || std::holds_alternative<question_unsent>(result);
    unanswered_in_row_ = is_unanswered ? unanswered_in_row_ + 1 : 0;
    bool const may_repeat_at_once = is_failed && unanswered_in_row_ == 1;
    not_before_ = is_unanswered && !may_repeat_at_once ? now + retry_delay : now;
    return decided;
}

std::vector<decided_end> liveness_check::expire(state::time_point now)
{
    std::vector<decided_end> decided;
    std::erase_if(
        ends_,
        [&](auto const& entry)
        {
            if (entry.second.end.deadline > now)
                return false;
            decided.push_back({entry.first, process_state::unknown});
            return true;
        });
    return decided;
}

} // namespace auburnweir::coordination
