#include "protocol/instance_report_codec.hpp"

#include "protocol/segment_evidence_codec.hpp"

namespace auburnweir::protocol
{

namespace
{

using nlohmann::json;

std::uint16_t read_port(element_reader& in)
{
    constexpr std::uint64_t max_port = 65535;
    auto const port = in.unsigned_integer();
    require(port <= max_port, "port is too large");
    return static_cast<std::uint16_t>(port);
}

state::endpoint read_endpoint(element_reader& in)
{
    state::endpoint address;
    address.host = in.text();
    address.port = read_port(in);
    return address;
}

state::duration read_duration(element_reader& in)
{
    auto const length = in.integer();
    require(length >= 0, "duration is negative");
    return state::duration{length};
}

json encode_server(state::listed_server const& s)
{
    auto out = json::array(
        {s.id.str(), s.incarnation.count(), s.service.str(), s.address.host, s.address.port,
         s.failure_domain.str(), s.version.str(), s.slots, s.draining, s.reclaimable});
    if (s.cold_for)
        out.push_back(s.cold_for->count());
    return out;
}

state::listed_server read_server(json const& from)
{
    element_reader in(from);
    state::listed_server s;
    s.id = state::backend_id{in.text()};
    s.incarnation = state::incarnation_number{in.unsigned_integer()};
    s.service = state::service_id{in.text()};
    s.address = read_endpoint(in);
    s.failure_domain = state::failure_domain_id{in.text()};
    s.version = state::version_id{in.text()};
    s.slots = in.integer();
    s.draining = in.flag();
    s.reclaimable = in.flag();
    if (!in.at_end())
        s.cold_for = read_duration(in);
    return s;
}

json encode_update(state::directory_update const& update)
{
    auto listed = json::array();
    for (auto const& server : update.listed)
        listed.push_back(encode_server(server));
    auto removed = json::array();
    for (auto const& id : update.removed)
        removed.push_back(id.str());
    return json::array(
        {update.version.count(), update.age.count(), update.complete, std::move(listed),
         std::move(removed)});
}

state::directory_update read_update(json const& from)
{
    element_reader in(from);
    state::directory_update update;
    update.version = state::directory_version{in.unsigned_integer()};
    update.age = state::duration{in.integer()};
    update.complete = in.flag();
    for (auto const& server : in.array())
        update.listed.push_back(read_server(server));
    for (auto const& id : in.array())
    {
        require(id.is_string(), "id is not text");
        update.removed.emplace_back(id.get<std::string>());
    }
    return update;
}

state::acknowledged_state read_acknowledged(element_reader& in)
{
    state::acknowledged_state acknowledged;
    acknowledged.reported_through = state::window_number{in.integer()};
    acknowledged.configuration = state::configuration_version{in.unsigned_integer()};
    return acknowledged;
}

json encode_rows_status(state::operator_rows_status const& status)
{
    return json::array(
        {status.newest.version.count(), status.age.count(), status.newest.era.count(),
         status.acknowledged.reported_through.count(), status.acknowledged.configuration.count()});
}

state::operator_rows_status read_rows_status(json const& from)
{
    element_reader in(from);
    state::operator_rows_status status;
    status.newest.version = state::row_version{in.unsigned_integer()};
    status.age = state::duration{in.integer()};
    // Instances of the version before end here.
    if (in.at_end())
        return status;
    status.newest.era = state::store_era{in.unsigned_integer()};
    status.acknowledged = read_acknowledged(in);
    return status;
}

json encode_usage(state::usage_by_window const& usage)
{
    auto out = json::array();
    for (auto const& [window, counts] : usage)
        for (auto const& [organisation, count] : counts)
            out.push_back({window.count(), organisation.str(), count});
    return out;
}

state::usage_by_window read_usage(json const& from)
{
    state::usage_by_window usage;
    for (auto const& e : from)
    {
        element_reader in(e);
        state::window_number const window{in.integer()};
        state::organisation_id const organisation{in.text()};
        usage[window][organisation] = in.integer();
    }
    return usage;
}

json encode_uses(state::quota_uses const& uses)
{
    auto out = json::array();
    for (auto const& [organisation, use] : uses)
        out.push_back({organisation.str(), use.charged, use.unsettled});
    return out;
}

state::quota_uses read_uses(json const& from)
{
    state::quota_uses uses;
    for (auto const& e : from)
    {
        element_reader in(e);
        auto& use = uses[state::organisation_id{in.text()}];
        use.charged = in.decimal();
        use.unsettled = in.decimal();
    }
    return uses;
}

json encode_levels(state::quota_levels const& levels)
{
    auto out = json::array();
    for (auto const& [organisation, level] : levels)
        out.push_back({organisation.str(), level});
    return out;
}

state::quota_levels read_levels(json const& from)
{
    state::quota_levels levels;
    for (auto const& e : from)
    {
        element_reader in(e);
        state::organisation_id const organisation{in.text()};
        levels[organisation] = in.decimal();
    }
    return levels;
}

json encode_shares(state::traffic_shares const& shares)
{
    auto out = json::array({shares.own});
    for (auto const& [domain, share] : shares.by_domain)
    {
        out.push_back(domain.str());
        out.push_back(share);
    }
    return out;
}

/// Failure domains of one deployment.
constexpr std::size_t max_domains = 256;

double read_share(element_reader& in)
{
    auto const share = in.decimal();
    require(share >= 0 && share <= 1, "share is out of range");
    return share;
}

state::traffic_shares read_shares(json const& from)
{
    element_reader in(from);
    state::traffic_shares shares;
    shares.own = read_share(in);
    while (!in.at_end())
    {
        state::failure_domain_id domain{in.text()};
        shares.by_domain[std::move(domain)] = read_share(in);
        require(shares.by_domain.size() <= max_domains, "list is too long");
    }
    return shares;
}

/// Servers of one message; a deployment has fewer.
constexpr std::size_t max_servers = 4096;

json encode_load(std::optional<state::server_load> const& load, state::duration age)
{
    if (!load)
        return json::array();
    return json::array(
        {load->running, load->waiting, load->slots,
         load->work.value_or(state::work_factor{}).count(), age.count()});
}

json encode_server_observations(state::server_observations const& observations)
{
    auto out = json::array();
    for (auto const& o : observations)
        out.push_back(
            {o.id.str(), o.incarnation.count(), o.intervals.count, o.intervals.total.count(),
             encode_load(o.load, o.load_age)});
    return out;
}

std::int64_t read_count(element_reader& in)
{
    auto const count = in.integer();
    require(count >= 0, "count is negative");
    return count;
}

void read_load(json const& from, state::server_observation& out)
{
    if (from.empty())
        return;
    element_reader in(from);
    auto& load = out.load.emplace();
    load.running = read_count(in);
    load.waiting = read_count(in);
    load.slots = read_count(in);
    if (auto const work = read_count(in); work > 0)
        load.work = state::work_factor{work};
    out.load_age = read_duration(in);
}

state::server_observations read_server_observations(json const& from)
{
    require(from.size() <= max_servers, "list is too long");
    state::server_observations observations;
    for (auto const& e : from)
    {
        element_reader in(e);
        state::server_observation o;
        o.id = state::backend_id{in.text()};
        o.incarnation = state::incarnation_number{in.unsigned_integer()};
        o.intervals.count = in.unsigned_integer();
        o.intervals.total = read_duration(in);
        read_load(in.array(), o);
        observations.push_back(std::move(o));
    }
    return observations;
}

json encode_ratings(std::optional<state::rating_update> const& update)
{
    if (!update)
        return json::array();
    auto changed = json::array();
    for (auto const& r : update->changed)
        changed.push_back(
            {r.id.str(), r.incarnation.count(), r.event_interval.count(), r.load,
             r.load_age.count()});
    return json::array({update->version.count(), std::move(changed)});
}

std::optional<state::rating_update> read_ratings(json const& from)
{
    if (from.empty())
        return std::nullopt;
    element_reader in(from);
    state::rating_update update;
    update.version = state::rating_version{in.unsigned_integer()};
    auto const& changed = in.array();
    require(changed.size() <= max_servers, "list is too long");
    for (auto const& e : changed)
    {
        element_reader server(e);
        state::server_rating r;
        r.id = state::backend_id{server.text()};
        r.incarnation = state::incarnation_number{server.unsigned_integer()};
        r.event_interval = read_duration(server);
        r.load = read_count(server);
        r.load_age = read_duration(server);
        update.changed.push_back(std::move(r));
    }
    return update;
}

json encode_evacuations(std::optional<state::evacuations> const& evacuated)
{
    if (!evacuated)
        return json::array();
    auto domains = json::array();
    for (auto const& domain : evacuated->domains)
        domains.push_back(domain.str());
    return json::array(
        {evacuated->complete_to.era.count(), evacuated->complete_to.version.count(),
         std::move(domains)});
}

std::optional<state::evacuations> read_evacuations(json const& from)
{
    if (from.empty())
        return std::nullopt;
    element_reader in(from);
    state::evacuations evacuated;
    evacuated.complete_to.era = state::store_era{in.unsigned_integer()};
    evacuated.complete_to.version = state::row_version{in.unsigned_integer()};
    auto const& domains = in.array();
    require(domains.size() <= max_domains, "list is too long");
    for (auto const& domain : domains)
    {
        require(domain.is_string(), "domain is not text");
        evacuated.domains.emplace(domain.get<std::string>());
    }
    return evacuated;
}

/// Services and instances of one list of relays; a deployment has fewer.
constexpr std::size_t max_relay_entries = 1024;

json encode_services(std::set<state::service_id> const& services)
{
    auto out = json::array();
    for (auto const& service : services)
        out.push_back(service.str());
    return out;
}

std::set<state::service_id> read_services(json const& from)
{
    require(from.size() <= max_relay_entries, "list is too long");
    std::set<state::service_id> services;
    for (auto const& service : from)
    {
        require(service.is_string(), "service is not text");
        services.emplace(service.get<std::string>());
    }
    return services;
}

json encode_relays(state::relay_peers const& relays)
{
    auto out = json::array();
    for (auto const& [service, peers] : relays)
    {
        auto encoded = json::array();
        for (auto const& peer : peers)
            encoded.push_back(
                {peer.id.str(), peer.incarnation.count(), peer.failure_domain.str(),
                 peer.address.host, peer.address.port});
        out.push_back(json::array({service.str(), std::move(encoded)}));
    }
    return out;
}

state::relay_peers read_relays(json const& from)
{
    require(from.size() <= max_relay_entries, "list is too long");
    state::relay_peers relays;
    for (auto const& of_service : from)
    {
        element_reader in(of_service);
        auto& peers = relays[state::service_id{in.text()}];
        auto const& encoded = in.array();
        require(encoded.size() <= max_relay_entries, "list is too long");
        for (auto const& e : encoded)
        {
            element_reader fields(e);
            state::relay_peer peer;
            peer.id = state::instance_id{fields.text()};
            peer.incarnation = state::incarnation_number{fields.unsigned_integer()};
            peer.failure_domain = state::failure_domain_id{fields.text()};
            peer.address = read_endpoint(fields);
            peers.push_back(std::move(peer));
        }
    }
    return relays;
}

/// Whether a response has elements that follow the traffic shares.
bool has_placement(state::report_response const& response)
{
    return response.rank != state::instance_rank{} || response.evacuated || response.ratings ||
           !response.relays.empty();
}

} // namespace

void append_report(json& out, state::instance_report const& report)
{
    out.push_back(report.id.str());
    out.push_back(report.incarnation.count());
    out.push_back(report.failure_domain.str());
    out.push_back(report.peer_address.host);
    out.push_back(report.peer_address.port);
    out.push_back(report.sequence);
    out.push_back(report.stopping);
    out.push_back(report.directory.count());
    out.push_back(report.directory_holder.count());
    out.push_back(report.digest.count());
    out.push_back(report.isolated);
    out.push_back(encode_uses(report.uses));
    if (report.details)
    {
        out.push_back(report.details->wall_offset.count());
        out.push_back(report.details->usage_complete_until.count());
        out.push_back(encode_usage(report.details->usage));
        if (report.details->requests)
            out.push_back(*report.details->requests);
    }
    out.push_back(encode_observations(report.segments));
    out.push_back(report.acknowledged.reported_through.count());
    out.push_back(report.acknowledged.configuration.count());
    bool const has_relaying = report.relay_port != 0 || !report.unreachable.empty();
    bool const has_ratings =
        !report.observations.empty() || report.ratings != state::rating_version{};
    if (!has_ratings && !has_relaying)
        return;
    out.push_back(report.ratings.count());
    out.push_back(encode_server_observations(report.observations));
    if (!has_relaying)
        return;
    out.push_back(report.relay_port);
    out.push_back(encode_services(report.unreachable));
}

state::instance_report read_report(element_reader& in)
{
    state::instance_report report;
    report.id = state::instance_id{in.text()};
    report.incarnation = state::incarnation_number{in.unsigned_integer()};
    report.failure_domain = state::failure_domain_id{in.text()};
    report.peer_address = read_endpoint(in);
    report.sequence = in.unsigned_integer();
    report.stopping = in.flag();
    report.directory = state::directory_version{in.unsigned_integer()};
    report.directory_holder = state::incarnation_number{in.unsigned_integer()};
    report.digest = state::directory_digest{in.unsigned_integer()};
    report.isolated = in.flag();
    report.uses = read_uses(in.array());
    if (!in.at_end() && !in.next_is_array())
    {
        auto& details = report.details.emplace();
        details.wall_offset = std::chrono::milliseconds{in.integer()};
        details.usage_complete_until = std::chrono::milliseconds{in.integer()};
        details.usage = read_usage(in.array());
        if (!in.at_end() && !in.next_is_array())
            details.requests = in.unsigned_integer();
    }
    if (!in.at_end())
        report.segments = read_observations(in.array());
    if (!in.at_end())
        report.acknowledged = read_acknowledged(in);
    if (in.at_end())
        return report;
    report.ratings = state::rating_version{in.unsigned_integer()};
    report.observations = read_server_observations(in.array());
    // Instances of the version before end here.
    if (in.at_end())
        return report;
    report.relay_port = read_port(in);
    report.unreachable = read_services(in.array());
    return report;
}

void append_report_response(json& out, state::report_response const& response)
{
    out.push_back(response.holder.id.str());
    out.push_back(response.holder.incarnation.count());
    out.push_back(response.sequence);
    out.push_back(response.instance_count);
    out.push_back(response.live_instance_count);
    out.push_back(response.holds_lease);
    out.push_back(encode_levels(response.levels));
    out.push_back(response.directory ? encode_update(*response.directory) : json::array());
    out.push_back(response.directory_withheld);
    out.push_back(
        response.operator_rows ? encode_rows_status(*response.operator_rows) : json::array());
    if (response.wall_offset)
        out.push_back(response.wall_offset->count());
    bool const places = has_placement(response);
    bool const has_shares = response.shares.has_value() || places;
    if (has_shares || response.segments != state::segment_verdicts{})
        out.push_back(encode_verdicts(response.segments));
    if (has_shares)
        out.push_back(response.shares ? encode_shares(*response.shares) : json::array());
    if (!places)
        return;
    out.push_back(response.rank.rank);
    out.push_back(response.rank.count);
    out.push_back(encode_evacuations(response.evacuated));
    out.push_back(encode_ratings(response.ratings));
    if (!response.relays.empty())
        out.push_back(encode_relays(response.relays));
}

state::report_response read_report_response(element_reader& in)
{
    state::report_response response;
    response.holder.id = state::instance_id{in.text()};
    response.holder.incarnation = state::incarnation_number{in.unsigned_integer()};
    response.sequence = in.unsigned_integer();
    response.instance_count = in.unsigned_integer();
    response.live_instance_count = in.unsigned_integer();
    response.holds_lease = in.flag();
    response.levels = read_levels(in.array());
    if (auto const& update = in.array(); !update.empty())
        response.directory = read_update(update);
    response.directory_withheld = in.flag();
    if (auto const& status = in.array(); !status.empty())
        response.operator_rows = read_rows_status(status);
    if (!in.at_end() && !in.next_is_array())
        response.wall_offset = std::chrono::milliseconds{in.integer()};
    if (!in.at_end())
        response.segments = read_verdicts(in.array());
    if (!in.at_end())
        if (auto const& shares = in.array(); !shares.empty())
            response.shares = read_shares(shares);
    if (in.at_end())
        return response;
    response.rank.rank = in.unsigned_integer();
    response.rank.count = in.unsigned_integer();
    response.evacuated = read_evacuations(in.array());
    response.ratings = read_ratings(in.array());
    if (!in.at_end())
        response.relays = read_relays(in.array());
    return response;
}

} // namespace auburnweir::protocol
