#include "protocol/gateway_status.hpp"

#include "protocol/json.hpp"

namespace auburnweir::protocol
{

namespace
{

using nlohmann::json;

std::int64_t milliseconds(state::duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

std::string text_of(state::endpoint const& address)
{
    return address.host + ":" + std::to_string(address.port);
}

json encode_configuration(gateway_status const& status)
{
    if (!status.routes)
        return nullptr;
    auto services = json::array();
    for (auto const& service : status.routes->services())
        services.push_back(service.id.str());
    return {
        {"version", status.routes->version().count()},
        {"age_ms", milliseconds(status.routes_age)},
        {"routes", status.routes->route_count()},
        {"organisations", status.routes->organisations().size()},
        {"services", std::move(services)}};
}

json encode_instance(state::reporting_instance const& instance, state::time_point now)
{
    return {
        {"id", instance.report.id.str()},
        {"address", text_of(instance.report.peer_address)},
        {"failure_domain", instance.report.failure_domain.str()},
        {"stopping", instance.report.stopping},
        {"heard_ms_ago", milliseconds(now - instance.last_report_at)}};
}

json encode_server(state::server_view const& server, state::time_point now)
{
    auto const& listed = server.listed;
    bool const ejected = server.ejected_until && *server.ejected_until > now;
    return {
        {"id", listed.id.str()},
        {"service", listed.service.str()},
        {"failure_domain", listed.failure_domain.str()},
        {"address", text_of(listed.address)},
        {"version", listed.version.str()},
        {"slots", listed.slots},
        {"reclaimable", listed.reclaimable},
        {"leaving", listed.draining},
        {"ejected", ejected},
        {"in_progress", server.in_flight},
        {"limit_per_second", server.limit ? json(server.limit->rate().count()) : json()},
        {"cold_for_ms", server.is_cold(now) ? milliseconds(*server.cold_until - now) : 0},
        {"failure_share", server.failure_share}};
}

json encode_quarantined_segment(state::segment_verdict const& verdict)
{
    return {
        {"segment_hash", hexadecimal(verdict.segment.count())},
        {"group", hexadecimal(verdict.group.count())},
        {"refused_for_ms", milliseconds(verdict.age)}};
}

json encode_unreachable(gateway_status const& status)
{
    auto out = json::array();
    for (auto const& [service, since] : status.unreachable)
    {
        auto relays = json::array();
        if (auto const peers = status.relays.find(service); peers != status.relays.end())
            for (auto const& peer : peers->second)
                relays.push_back(peer.id.str());
        out.push_back(
            {{"service", service.str()},
             {"for_ms", milliseconds(status.now - since)},
             {"relays", std::move(relays)}});
    }
    return out;
}

} // namespace

std::string encode_status(gateway_status const& status)
{
    json out{
        {"id", status.id.str()},
        {"life", status.incarnation.count()},
        {"failure_domain", status.failure_domain.str()},
        {"ready", status.ready},
        {"stopping", status.stopping},
        {"holds_duties", status.holds_duties},
        {"duties_held_by", status.duties_holder.str()},
        {"rank", status.rank.rank},
        {"ranked_instances", status.rank.count},
        {"configuration", encode_configuration(status)},
        {"unreachable_services", encode_unreachable(status)},
        {"instances", json::array()},
        {"quarantined_segments", json::array()},
        {"backends", json::array()}};
    for (auto const& instance : status.instances)
        out["instances"].push_back(encode_instance(instance, status.now));
    for (auto const& verdict : status.quarantined_segments)
        out["quarantined_segments"].push_back(encode_quarantined_segment(verdict));
    for (auto const& server : status.servers)
        out["backends"].push_back(encode_server(server, status.now));
    return dump(out);
}

} // namespace auburnweir::protocol
