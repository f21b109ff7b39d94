#include "transport/quarantine_gate.hpp"

#include "state/overloaded.hpp"
#include "transport/async_signal.hpp"

namespace auburnweir::transport
{

namespace
{

/// A trial of another request of its kind mostly shows within this time whether a request can be
/// sent, and the holder of the duties grants one.
constexpr state::duration max_trial_wait = std::chrono::milliseconds{400};
constexpr state::duration trial_poll_period = std::chrono::milliseconds{50};

} // namespace

quarantine_gate::step quarantine_gate::next_step(
    state::forwarded_request const& request, int executed)
{
    auto& quarantine = context_.tables.segment_quarantine;
    return std::visit(
        state::overloaded{
            [](coordination::not_quarantined const&) -> step { return send_now{}; },
            [](coordination::quarantined_segment const& segment) -> step {
                return quarantine_refusal{segment, false};
            },
            [&](coordination::doubtful_request const& doubtful) -> step
            {
                if (trial_ && trial_->executed_before == executed)
                    return send_now{};
                if (!quarantine.try_acquire_trial(doubtful, now()))
                    return wait_for_trial{{doubtful.segment, true}};
                trial_ = {doubtful, executed};
                context_.tables.counters.increment(state::event_counter::quarantine_trials);
                return send_now{};
            }},
        quarantine.judge(request, now()));
}

void quarantine_gate::finish(int executed)
{
    if (trial_ && trial_->executed_before == executed)
        context_.tables.segment_quarantine.return_trial(trial_->request, now());
}

net::awaitable<std::optional<quarantine_refusal>> quarantine_gate::pass(
    state::forwarded_request const& request, int executed, state::time_point deadline,
    std::shared_ptr<call_cancellation> cancel)
{
    auto const give_up_at = std::min(now() + max_trial_wait, deadline);
    for (;;)
    {
        auto const next = next_step(request, executed);
        if (std::holds_alternative<send_now>(next))
            co_return std::nullopt;
        if (auto const* refused = std::get_if<quarantine_refusal>(&next))
            co_return *refused;
        if (now() >= give_up_at || cancel->cancelled())
            co_return std::get<wait_for_trial>(next).otherwise;
        co_await sleep_for(worker_.io(), trial_poll_period);
    }
}

} // namespace auburnweir::transport
