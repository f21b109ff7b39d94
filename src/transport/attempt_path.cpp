#include "transport/attempt_path.hpp"

#include "protocol/relay_head.hpp"

namespace auburnweir::transport
{

void attempt_path::leave()
{
    if (peer_)
        context_.tables.relays.record_end(peer_->id);
    peer_.reset();
}

bool attempt_path::choose(state::server_view const& server)
{
    leave();
    auto& tables = context_.tables;
    auto const& service = server.listed.service;
    if (tables.reach.may_reach(service, server.first_listed_at))
        return true;
    peer_ = tables.relays.choose(service, now(), worker_.random());
    if (!peer_)
        return false;
    tables.counters.increment(state::event_counter::attempts_relayed);
    return true;
}

state::endpoint attempt_path::address(
    http_request& call, state::listed_server const& server, state::forwarded_request const& request,
    bool at_most_once) const
{
    if (!peer_)
        return server.address;
    protocol::relay_head head;
    head.from = context_.settings.id;
    head.server = server.id;
    head.at_most_once = at_most_once;
    head.fingerprint = request.fingerprint;
    protocol::relayed_message message;
    message.method = call.method;
    message.target = call.target;
    message.request_id = request.id.str();
    message.body = call.body;
    message.to = peer_->id;
    message.to_incarnation = peer_->incarnation;
    call.headers.emplace_back(
        protocol::relay_header,
        protocol::encode_relay_head(head, message, context_.settings.peer_key));
    return peer_->address;
}

bool attempt_path::was_sent(http_stream const& response) const
{
    auto const& name = protocol::relayed_header;
    return !peer_ || response.headers().count({name.data(), name.size()}) > 0;
}

void attempt_path::record_refusal()
{
    if (peer_)
        context_.tables.relays.record_refusal(peer_->id, now());
}

} // namespace auburnweir::transport
