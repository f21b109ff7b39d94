#ifndef AUBURNWEIR_TRANSPORT_OPERATION_CALLER_HPP
#define AUBURNWEIR_TRANSPORT_OPERATION_CALLER_HPP

#include "coordination/operation_run.hpp"
#include "coordination/retry_policy.hpp"
#include "transport/entry_context.hpp"

#include <optional>
#include <variant>

namespace auburnweir::transport
{

/// Result of calling backend servers for one operation.
using operation_outcome = std::variant<
    coordination::backend_answered, coordination::backend_did_not_run,
    coordination::backend_response_lost>;

/// Calls backend servers for one operation until one responds or no retry is allowed.
class operation_caller
{
public:
    operation_caller(
        entry_context& context, worker& home, state::operation_request const& request,
        std::optional<state::time_point> deadline);

    /// @param idempotent  whether the operation may be retried after a lost response
    net::awaitable<operation_outcome> call(bool idempotent);

private:
    struct attempt_result
    {
        operation_outcome outcome;
        std::optional<state::retry_reason> failure; ///< null when the response is final
    };

    net::awaitable<attempt_result> attempt(state::backend_view backend, bool idempotent);
    /// The operation's outcome when the last attempt ended in `last`: that it did not run is true
    /// only if no attempt may have run.
    operation_outcome outcome_of_all(operation_outcome last) const;

    std::optional<state::backend_view> choose_backend();
    attempt_result classify_response(
        state::backend_view const& backend, http_response& response, bool idempotent);

    entry_context& context_;
    worker& worker_;
    state::operation_request const& request_;
    std::optional<state::time_point> deadline_;
    coordination::routing_request routing_;
    bool may_have_run_ = false; ///< in an attempt so far
};

} // namespace auburnweir::transport

#endif
