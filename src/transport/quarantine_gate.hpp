#ifndef AUBURNWEIR_TRANSPORT_QUARANTINE_GATE_HPP
#define AUBURNWEIR_TRANSPORT_QUARANTINE_GATE_HPP

#include "transport/gateway_context.hpp"

namespace auburnweir::transport
{

/// A request that its segments keep from being sent.
struct quarantine_refusal
{
    coordination::quarantined_segment segment;
    bool may_be_sound = false; ///< another request of its kind is being tried
};

/// Lets the attempts of one request pass as far as its segments tell. A request that may be sent as
/// a trial only waits for a short time: for its turn, or for the outcome of another trial.
class quarantine_gate
{
public:
    quarantine_gate(gateway_context& context, worker& assigned_worker)
        : context_(context)
        , worker_(assigned_worker)
    {
    }

    /// Waits until the next attempt may be sent.
    /// @param executed  attempts so far that a server may have run; others do not use up a trial
    /// @return why the request is refused; null when it may be sent now
    net::awaitable<std::optional<quarantine_refusal>> pass(
        state::forwarded_request const& request, int executed, state::time_point deadline,
        std::shared_ptr<call_cancellation> cancel);

    /// Ends the request's attempts: a trial that no server has run is given back.
    void finish(int executed);

private:
    struct send_now
    {
    };

    struct wait_for_trial
    {
        quarantine_refusal otherwise;
    };

    using step = std::variant<send_now, wait_for_trial, quarantine_refusal>;

    step next_step(state::forwarded_request const& request, int executed);

    gateway_context& context_;
    worker& worker_;
    struct trial
    {
        coordination::doubtful_request request;
        int executed_before = 0;
    };

    std::optional<trial> trial_; ///< that the request was sent as
};

} // namespace auburnweir::transport

#endif
