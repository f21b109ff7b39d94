#include "transport/entry_server.hpp"

#include "transport/caller_connection.hpp"
#include "transport/caller_listener.hpp"
#include "transport/clock.hpp"
#include "transport/engine_poller.hpp"
#include "transport/entry_context.hpp"
#include "transport/log.hpp"
#include "transport/peer_service.hpp"
#include "transport/platform_watch.hpp"
#include "transport/review_runner.hpp"

#include <csignal>
#include <random>

namespace auburnweir::transport
{

namespace
{

constexpr state::duration log_flush_period = std::chrono::milliseconds{200};
constexpr state::duration activity_check_interval = std::chrono::milliseconds{20};
constexpr state::duration housekeeping_interval = std::chrono::seconds{1};
constexpr state::duration engine_poll_interval = std::chrono::milliseconds{500};

/// Time for the handover messages to leave before the workers stop.
constexpr state::duration handover_send_time = std::chrono::milliseconds{200};

/// Share of a reclaim notice's time that running requests get to finish.
constexpr double drain_share_of_notice = 0.6;

state::instance own_instance(protocol::entry_settings const& settings)
{
    state::instance self;
    self.id = settings.id;
    self.incarnation = state::incarnation_number{
        static_cast<std::uint64_t>(wall_now().time_since_epoch().count())};
    self.failure_domain = settings.failure_domain;
    self.region = settings.region;
    return self;
}

ledger_store::dependencies ledger_dependencies(
    protocol::entry_settings const& settings, entry_tables& tables, worker_pool& workers,
    peer_links& peers)
{
    coordination::group_commit_settings batch_settings;
    batch_settings.window = settings.group_window;
    return {workers.at(0),   settings.id,       tables.instances,       peers,
            tables.counters, settings.platform, settings.store_timeout, batch_settings};
}

} // namespace

/// The server's components, in the order of construction; destroyed in reverse.
struct entry_server::components
{
    components(protocol::entry_settings s, std::uint64_t seed)
        : settings(std::move(s))
        , tables(settings)
        , peers(
              settings.id, settings.peer_key,
              [this](auto const& from, auto via, protocol::peer_message m)
              { peer_handler.receive(from, via, std::move(m)); })
        , workers(static_cast<std::size_t>(settings.workers), seed)
        , timers(workers.at(0).io())
        , ledger(ledger_dependencies(settings, tables, workers, peers))
        , context{settings, own_instance(settings),
                  tables,   workers,
                  timers,   peers,
                  ledger,   activity,
                  stopping, refuses_requests}
        , peer_handler(context)
        , platform(context, [this](state::duration time_left) { begin_stop(time_left); })
        , engine_status(context)
        , reviews(context)
        , listener(
              workers, [this](worker& home, tcp::socket socket)
              { std::make_shared<caller_connection>(context, home, std::move(socket))->start(); })
        , signals(workers.at(0).io(), SIGTERM, SIGINT)
    {
    }

    void schedule_tasks();
    void begin_stop(std::optional<state::duration> time_left);
    net::awaitable<void> stop(std::optional<state::duration> time_left);

    protocol::entry_settings settings;
    entry_tables tables;
    activity_count activity;
    std::atomic<bool> stopping{false};
    std::atomic<bool> refuses_requests{false};
    peer_links peers;
    worker_pool workers;
    timer_service timers;
    ledger_store ledger;
    entry_context context;
    peer_service peer_handler;
    platform_watch platform;
    engine_poller engine_status;
    review_runner reviews;
    caller_listener listener;
    net::signal_set signals;
    std::vector<timer_subscription> subscriptions;
    std::uint16_t caller_port = 0;
    std::uint16_t peer_port = 0;
};

void entry_server::components::schedule_tasks()
{
    auto const every = [this](state::duration period, timer_service::handler f)
    { subscriptions.push_back(timers.every(period, std::move(f))); };
    every(settings.poll_period, [this] { platform.poll(); });
    every(settings.adopt_delay, [this] { peer_handler.probe_owners(); });
    every(settings.review_scan, [this] { reviews.scan(); });
    every(engine_poll_interval, [this] { engine_status.poll(); });
    every(
        housekeeping_interval,
        [this]
        {
            tables.journals.expire(now());
            peers.close_unauthenticated(now());
        });
    every(log_flush_period, [] { flush_log(); });
    signals.async_wait(
        [this](error_code error, int)
        {
            if (!error)
                begin_stop(std::nullopt);
        });
}

void entry_server::components::begin_stop(std::optional<state::duration> time_left)
{
    if (stopping.exchange(true))
        return;
    log(log_event::entry_stopping, {{"instance", settings.id.str()}});
    net::co_spawn(workers.at(0).io(), stop(time_left), net::detached);
}

net::awaitable<void> entry_server::components::stop(std::optional<state::duration> time_left)
{
    auto& io = workers.at(0).io();
    auto drain_time = settings.drain_limit;
    if (time_left)
        drain_time = std::min(
            drain_time,
            std::chrono::duration_cast<state::duration>(*time_left * drain_share_of_notice));
    auto const drain_deadline = now() + drain_time;
    co_await sleep_for(io, std::min(settings.readiness_delay, drain_time));
    listener.close();
    refuses_requests = true;
    while (activity.value() > 0 && now() < drain_deadline)
        co_await sleep_for(io, activity_check_interval);
    peer_handler.hand_over_requests();
    co_await sleep_for(io, handover_send_time);
    workers.stop();
}

entry_server::entry_server(std::unique_ptr<components> p)
    : components_(std::move(p))
{
}

entry_server::~entry_server() = default;

std::uint16_t entry_server::caller_port() const
{
    return components_->caller_port;
}

std::uint16_t entry_server::peer_port() const
{
    return components_->peer_port;
}

void entry_server::run()
{
    components_->schedule_tasks();
    components_->peers.start();
    components_->listener.start();
    components_->workers.start();
    log(log_event::entry_started, {{"instance", components_->settings.id.str()}});
    components_->workers.join();
    components_->peers.stop();
    log(log_event::entry_stopped, {{"instance", components_->settings.id.str()}});
    flush_log();
}

entry_server::builder& entry_server::builder::settings(protocol::entry_settings value)
{
    settings_ = std::move(value);
    return *this;
}

entry_server::builder& entry_server::builder::configuration(state::configuration_ptr value)
{
    configuration_ = std::move(value);
    return *this;
}

entry_server::builder& entry_server::builder::seed(std::uint64_t value)
{
    seed_ = value;
    return *this;
}

std::unique_ptr<entry_server> entry_server::builder::build(std::string& error)
{
    auto p = std::make_unique<components>(settings_, seed_.value_or(std::random_device{}()));
    p->tables.configuration.apply(state::configuration_version{1}, configuration_);
    p->tables.backends.apply(*configuration_, now());
    p->caller_port = p->listener.listen(settings_.listen);
    p->peer_port = p->peers.listen(settings_.peer_listen);
    if (p->caller_port == 0 || p->peer_port == 0)
    {
        error = "cannot bind a listen address";
        return nullptr;
    }
    return std::unique_ptr<entry_server>{new entry_server(std::move(p))};
}

} // namespace auburnweir::transport
