#ifndef AUBURNWEIR_TRANSPORT_ATTEMPT_RECORDER_HPP
#define AUBURNWEIR_TRANSPORT_ATTEMPT_RECORDER_HPP

#include "coordination/segment_quarantine.hpp"
#include "transport/gateway_context.hpp"

namespace auburnweir::transport
{

/// Records what the attempts of requests show of backend servers and prompt segments: ejects
/// failing servers, and checks whether a server that broke off a request has crashed.
class attempt_recorder
{
public:
    attempt_recorder(gateway_context& context, worker& assigned_worker)
        : context_(context)
        , worker_(assigned_worker)
    {
    }

    /// Begins an attempt. If a peer relays it, its failures may be the peer's, and the peer records
    /// what they show of the server, its link and the request.
    void begin_attempt(bool is_relayed) { is_relayed_ = is_relayed; }

    /// Records for the usage report that a server has begun to run the request.
    /// @param organisation  null: none is charged
    void record_start(state::organisation_quota const* organisation);

    /// Records a response of the server.
    /// @param is_new_connection  the response is the first one on its connection
    void record_contact(state::server_view const& server, bool is_new_connection);

    /// Records that the link to the server may be cut.
    void record_link_failure(state::server_view const& server, coordination::link_failure failure);

    /// Records the end of an attempt for the server's health.
    void record_end(state::server_view const& server, state::server_outcome outcome);

    /// Records what a response says of its server.
    void record_statements(state::server_view const& server, backend_headers const& response);

    /// Records that another server has answered at the server's address.
    void record_replaced(state::server_view const& server);

    /// Records times between events of a stream of the server, for its rating.
    void record_intervals(
        state::listed_server const& server, state::event_intervals const& intervals);

    /// Records that the server broke off the request before it had answered it.
    void record_loss(state::server_view const& server, state::forwarded_request const& request);

    void record_answer(state::forwarded_request const& request);

    /// Records that the server accepts no connections.
    void record_unreachable(state::server_view const& server);

private:
    void record_return_time(state::server_view const& server, state::return_time const& returns);
    void record_cold(state::server_view const& server, state::duration cold_for);
    void record_limit(state::server_view const& server, backend_headers const& response);
    static net::awaitable<void> check_server(
        gateway_context& context, worker& assigned_worker, state::server_view server);
    /// Records the lost requests at a server that accepts no connections as crash evidence, once it
    /// is known that it is the server that fails and not the link to all servers.
    static net::awaitable<void> confirm_crash(
        gateway_context& context, worker& assigned_worker, state::server_view server);
    /// Whether the servers of a service fail and not this instance's links to them; null while it
    /// is not known.
    static std::optional<bool> server_has_failed(
        gateway_context& context, state::server_view const& server, state::time_point lost_at);

    gateway_context& context_;
    worker& worker_;
    bool is_relayed_ = false;
};

/// Counts and logs changes of the segments' verdicts.
void record_verdict_changes(
    gateway_context& context, std::vector<coordination::verdict_change> const& changes);

} // namespace auburnweir::transport

#endif
