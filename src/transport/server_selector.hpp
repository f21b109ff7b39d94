#ifndef AUBURNWEIR_TRANSPORT_SERVER_SELECTOR_HPP
#define AUBURNWEIR_TRANSPORT_SERVER_SELECTOR_HPP

#include "coordination/retry_budget.hpp"
#include "coordination/server_choice.hpp"
#include "transport/gateway_context.hpp"
#include "transport/request_placement.hpp"

namespace auburnweir::transport
{

/// The request counts as sent to this server.
struct server_selected
{
    state::server_view server;
    /// For the attempt after a refusal; null when the server is not expected to refuse, or no retry
    /// is left.
    std::optional<coordination::held_retry> retry;
};

/// All servers that are left have said that they take nothing before this time.
struct servers_closed
{
    state::time_point until{};
};

/// There is no server that the request was not sent to.
struct no_server_left
{
};

/// The service has servers, but the request may be sent to none of them.
struct no_server_permitted
{
};

using server_selection =
    std::variant<server_selected, servers_closed, no_server_left, no_server_permitted>;

/// Selects the servers for the attempts of one request; each server once.
class server_selector
{
public:
    server_selector(
        gateway_context& context, worker& assigned_worker, state::service_id service,
        coordination::choice_request choice, coordination::choice_policy policy,
        request_placement placement)
        : context_(context)
        , worker_(assigned_worker)
        , placement_(std::move(placement))
        , service_(std::move(service))
        , choice_(std::move(choice))
        , policy_(policy)
    {
    }

    /// Every path that sends to a server asks here, so that what servers say of themselves holds
    /// for all of them.
    /// @param may_follow_refusal  whether another attempt may follow a refusal, apart from the
    ///                            retry budget
    server_selection select(bool may_follow_refusal);

    /// Lets a server be selected again to which nothing was sent.
    void release(state::backend_id const& id) { choice_.tried_backends.erase(id); }

    /// Whether a server is open that the request was not sent to.
    bool has_alternative();

private:
    state::server_pool pool();
    void count(coordination::placement_kind const& placement);
    bool was_tried(state::backend_id const& id) const;

    gateway_context& context_;
    worker& worker_;
    request_placement placement_;
    state::service_id service_;
    coordination::choice_request choice_;
    coordination::choice_policy policy_;
};

} // namespace auburnweir::transport

#endif
