#include "transport/gateway_server.hpp"

#include "coordination/rating_summary.hpp"
#include "protocol/gateway_status.hpp"
#include "protocol/metrics_text.hpp"
#include "transport/async_signal.hpp"
#include "transport/connection_keeper.hpp"
#include "transport/duty_runner.hpp"
#include "transport/gateway_connection.hpp"
#include "transport/log.hpp"
#include "transport/peer_exchange.hpp"
#include "transport/reach_prober.hpp"
#include "transport/status_server.hpp"
#include "transport/store_watch.hpp"

#include <csignal>
#include <random>

namespace auburnweir::transport
{

namespace
{

constexpr state::duration log_flush_period = std::chrono::milliseconds{200};

/// Interval at which a stopping process checks whether its requests have ended.
constexpr state::duration activity_check_interval = std::chrono::milliseconds{50};

/// Time without requests after which a stopping process expects no more.
constexpr state::duration quiet_period = std::chrono::milliseconds{300};

/// Time in which callers still arrive after the instance became unready: two failed probes, one
/// second apart. Requests accepted later than 3 s after the signal must be finished in any case.
constexpr state::duration readiness_propagation_time = std::chrono::milliseconds{2800};

/// Time reserved before the end of the grace period, when the process is killed.
constexpr state::duration kill_margin = std::chrono::milliseconds{400};

/// Share of the revocation bound at which this instance becomes unready: others have a fresher
/// configuration.
constexpr double max_ready_age_share = 0.55;

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

} // namespace

struct gateway_server::components
{
    components(
        protocol::gateway_settings s, port_factory const& make_ports,
        std::function<state::findings()> check, std::uint64_t seed)
        : settings(std::move(s))
        , settings_check(std::move(check))
        , tables(settings)
        , workers(static_cast<std::size_t>(settings.workers), seed)
        , timers(workers.at(0).io())
        , ports(make_ports(workers.at(0).http(), tables.counters))
        , context{settings,
                  state::incarnation_number{
                      static_cast<std::uint64_t>(wall_now().time_since_epoch().count())},
                  tables,
                  workers,
                  timers,
                  clock,
                  {*ports.dialect, *ports.format, *ports.store, *ports.fleet},
                  phase,
                  activity,
                  caller_connections_in_use,
                  relayed}
        , links(
              settings.id, settings.peer_key,
              [this](auto const&, auto via, protocol::peer_message m)
              { peers.receive(via, std::move(m)); })
        , directory(context)
        , peers(context, links, directory)
        , duties(context, peers)
        , connections(context)
        , prober(context)
        , watch(context, directory, peers)
        , callers(
              workers,
              [this](worker& assigned_worker, tcp::socket socket)
              {
                  accept(assigned_worker, std::move(socket), caller_door{});
              },
              [this] { connections.release_descriptors(); })
        , relay_requests(
              workers,
              [this](worker& assigned_worker, tcp::socket socket)
              { accept(assigned_worker, std::move(socket), relay_door{}); },
              [this] { connections.release_descriptors(); })
        , readiness(workers, {{settings.ready_path, [this] { return readiness_response(); }}})
        , metrics(
              workers, {{"/metrics", [this] { return metrics_response(); }},
                        {"/status", [this] { return status_response(); }}})
        , signals(workers.at(0).io(), SIGTERM, SIGINT, SIGHUP)
    {
    }

    void accept(worker& assigned_worker, tcp::socket socket, connection_door door)
    {
        std::make_shared<gateway_connection>(context, assigned_worker, std::move(socket), door)
            ->start();
    }

    bool is_ready() const;
    caller_response readiness_response();
    caller_response metrics_response() const;
    caller_response status_response() const;
    void await_signal();
    void reload();
    net::awaitable<void> stop();
    void flush();

    protocol::gateway_settings settings;
    std::function<state::findings()> settings_check;
    gateway_tables tables;
    std::atomic<stop_phase> phase{stop_phase::running};
    activity_count activity;
    activity_count relayed;
    caller_connections caller_connections_in_use{{}, own_descriptor_shares().callers};
    worker_pool workers;
    timer_service timers;
    shared_clock clock;
    owned_ports ports;
    gateway_context context;
    peer_links links;
    directory_sync directory;
    peer_exchange peers;
    duty_runner duties;
    connection_keeper connections;
    reach_prober prober;
    store_watch watch;
    caller_listener callers;
    caller_listener relay_requests;
    status_server readiness;
    status_server metrics;
    net::signal_set signals;
    std::vector<timer_subscription> subscriptions;
    bool was_ready = false;
    std::uint64_t lines_dropped = 0;
    std::uint16_t caller_port = 0;
    std::uint16_t ready_port = 0;
    std::uint16_t metrics_port = 0;
    std::uint16_t peer_port = 0;
};

bool gateway_server::components::is_ready() const
{
    if (phase != stop_phase::running || !watch.has_read_all() || !duties.has_read_stored_state())
        return false;
    return tables.routes.age(now()).count() <
           max_ready_age_share * static_cast<double>(settings.revocation_bound.count());
}

caller_response gateway_server::components::readiness_response()
{
    bool const ready = is_ready();
    if (ready != was_ready)
        log(log_event::readiness_changed,
            {{"ready", ready ? "yes" : "no"},
             {"stopping", phase != stop_phase::running ? "yes" : "no"},
             {"configuration_age_ms", std::to_string(tables.routes.age(now()).count() / 1000)}});
    was_ready = ready;
    caller_response reply;
    reply.status = ready ? status_ok : status_unavailable;
    reply.content_type = "text/plain";
    reply.body = ready ? "ready\n" : "not ready\n";
    return reply;
}

caller_response gateway_server::components::metrics_response() const
{
    caller_response reply;
    reply.content_type = "text/plain; version=0.0.4";
    reply.body = protocol::encode_metrics(tables.counters);
    protocol::append_histogram(reply.body, "first_part_seconds", tables.first_byte_latency);
    protocol::append_histogram(reply.body, "whole_answer_seconds", tables.full_response_latency);
    auto const age = std::chrono::duration<double>(tables.routes.age(now())).count();
    protocol::append_gauge(reply.body, "configuration_age_seconds", age);
    protocol::append_gauge(
        reply.body, "requests_in_progress", static_cast<double>(activity.value()));
    protocol::append_gauge(
        reply.body, "quarantined_segments",
        static_cast<double>(tables.segment_quarantine.quarantined_count(now())));
    auto const drops = tables.segment_quarantine.drops();
    protocol::append_gauge(
        reply.body, "quarantine_evidence_dropped", static_cast<double>(drops.evidence));
    protocol::append_gauge(
        reply.body, "quarantine_answers_forgotten", static_cast<double>(drops.answers));
    protocol::append_gauge(
        reply.body, "server_departures_dropped",
        static_cast<double>(tables.servers.dropped_departures()));
    auto const evacuated = tables.evacuations.current().value_or(state::evacuations{});
    protocol::append_gauge(
        reply.body, "evacuated_domains", static_cast<double>(evacuated.domains.size()));
    auto const ratings = coordination::summarise_ratings(tables.servers.snapshot(), now());
    protocol::append_gauge(reply.body, "rated_servers", static_cast<double>(ratings.rated_servers));
    protocol::append_gauge(reply.body, "slowest_server_to_reference", ratings.slowest_to_reference);
    protocol::append_gauge(
        reply.body, "server_observations_dropped",
        static_cast<double>(
            tables.server_observations.dropped() + tables.server_ratings.dropped()));
    auto const cold = tables.servers.summarise_cold(now());
    protocol::append_gauge(reply.body, "cold_servers", static_cast<double>(cold.servers));
    protocol::append_gauge(reply.body, "cold_servers_owned", static_cast<double>(cold.owned));
    protocol::append_gauge(
        reply.body, "cold_requests_sent", static_cast<double>(cold.requests_sent));
    protocol::append_gauge(
        reply.body, "unreachable_services", static_cast<double>(tables.reach.unreachable().size()));
    protocol::append_gauge(
        reply.body, "relayed_requests_in_progress", static_cast<double>(relayed.value()));
    protocol::append_gauge(
        reply.body, "log_lines_dropped", static_cast<double>(log_lines_dropped()));
    if (auto const routes = tables.routes.current())
        protocol::append_gauge(
            reply.body, "configuration_version", static_cast<double>(routes->version().count()));
    return reply;
}

caller_response gateway_server::components::status_response() const
{
    protocol::gateway_status status;
    status.id = settings.id;
    status.incarnation = context.incarnation;
    status.failure_domain = settings.failure_domain;
    status.ready = is_ready();
    status.stopping = phase != stop_phase::running;
    status.holds_duties = peers.is_holder();
    status.duties_holder = peers.holder();
    status.rank = peers.rank();
    status.routes = tables.routes.current();
    status.now = now();
    status.routes_age = tables.routes.age(status.now);
    status.instances = tables.instance_reports.all();
    status.servers = tables.servers.snapshot();
    status.unreachable = tables.reach.unreachable();
    status.relays = tables.relays.peers();
    status.quarantined_segments = tables.segment_quarantine.verdicts(status.now);
    caller_response reply;
    reply.body = protocol::encode_status(status);
    return reply;
}

void gateway_server::components::flush()
{
    auto const dropped = log_lines_dropped();
    if (dropped != lines_dropped)
        log(log_event::log_lines_dropped, {{"lines", std::to_string(dropped - lines_dropped)}});
    lines_dropped = dropped;
    flush_log();
}

void gateway_server::components::await_signal()
{
    signals.async_wait(
        [this](error_code error, int number)
        {
            if (error)
                return;
            if (number == SIGHUP)
            {
                reload();
                return await_signal();
            }
            if (phase.exchange(stop_phase::leaving) == stop_phase::running)
                net::co_spawn(workers.at(0).io(), stop(), net::detached);
        });
}

void gateway_server::components::reload()
{
    auto const findings = settings_check ? settings_check() : state::findings{};
    log(log_event::settings_reloaded, {{"findings", state::to_text(findings)}});
}

net::awaitable<void> gateway_server::components::stop()
{
    log(log_event::gateway_stopping, {{"instance", settings.id.str()},
                                      {"requests_in_progress", std::to_string(activity.value())}});
    auto& io = workers.at(0).io();
    auto const started_at = now();
    auto const until = started_at + settings.stop_grace - kill_margin;
    co_await sleep_for(io, std::min(readiness_propagation_time, settings.stop_grace - kill_margin));
    phase = stop_phase::refusing;
    callers.close();
    relay_requests.close();
    auto active_at = now();
    while (now() < until && now() - active_at < quiet_period)
    {
        co_await sleep_for(io, activity_check_interval);
        if (activity.value() > 0)
            active_at = now();
    }
    workers.stop();
}

gateway_server::gateway_server(std::unique_ptr<components> p)
    : components_(std::move(p))
{
}

gateway_server::~gateway_server() = default;

std::uint16_t gateway_server::caller_port() const
{
    return components_->caller_port;
}

std::uint16_t gateway_server::ready_port() const
{
    return components_->ready_port;
}

std::uint16_t gateway_server::metrics_port() const
{
    return components_->metrics_port;
}

std::uint16_t gateway_server::relay_port() const
{
    return components_->settings.relay_listen.port;
}

std::uint16_t gateway_server::peer_port() const
{
    return components_->peer_port;
}

void gateway_server::run()
{
    auto& p = *components_;
    p.subscriptions.push_back(p.timers.every(log_flush_period, [&p] { p.flush(); }));
    p.await_signal();
    p.links.start();
    p.peers.start();
    p.duties.start();
    p.connections.start();
    p.prober.start();
    p.watch.start();
    p.callers.start();
    p.relay_requests.start();
    p.readiness.start();
    p.metrics.start();
    log(log_event::gateway_started, {{"instance", p.settings.id.str()},
                                     {"life", std::to_string(p.context.incarnation.count())},
                                     {"failure_domain", p.settings.failure_domain.str()}});
    p.workers.start();
    p.workers.join();
    p.links.stop();
    log(log_event::gateway_stopped, {{"instance", p.settings.id.str()},
                                     {"requests_in_progress", std::to_string(p.activity.value())}});
    flush_log();
}

gateway_server::builder& gateway_server::builder::settings(protocol::gateway_settings value)
{
    settings_ = std::move(value);
    return *this;
}

gateway_server::builder& gateway_server::builder::ports(port_factory value)
{
    ports_ = std::move(value);
    return *this;
}

gateway_server::builder& gateway_server::builder::seed(std::uint64_t value)
{
    seed_ = value;
    return *this;
}

gateway_server::builder& gateway_server::builder::settings_check(
    std::function<state::findings()> value)
{
    settings_check_ = std::move(value);
    return *this;
}

std::unique_ptr<gateway_server> gateway_server::builder::build(std::string& error)
{
    auto p = std::make_unique<components>(
        settings_, ports_, settings_check_, seed_.value_or(std::random_device{}()));
    p->caller_port = p->callers.listen(settings_.listen);
    p->ready_port = p->readiness.listen(settings_.ready_listen);
    p->metrics_port = p->metrics.listen(settings_.metrics_listen);
    p->peer_port = p->links.listen(settings_.peer_listen);
    p->settings.peer_listen.port = p->peer_port;
    p->settings.relay_listen.port = p->relay_requests.listen(p->settings.relay_listen);
    bool const is_listening = p->caller_port != 0 && p->ready_port != 0 && p->metrics_port != 0 &&
                              p->peer_port != 0 && p->settings.relay_listen.port != 0;
    if (!is_listening)
    {
        error = "cannot listen on one of the configured addresses";
        return nullptr;
    }
    return std::make_unique<gateway_server>(std::move(p));
}

} // namespace auburnweir::transport
