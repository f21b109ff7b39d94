#include "transport/reach_prober.hpp"

#include "transport/async_signal.hpp"
#include "transport/log.hpp"

#include <algorithm>

namespace auburnweir::transport
{

namespace
{

constexpr state::duration check_period = std::chrono::milliseconds{50};

/// Beyond the timeout of the connections, so that the last one ends before.
constexpr state::duration timeout_margin = std::chrono::milliseconds{100};

/// The connections of one probe, and how many of them are still being opened.
struct probe_progress
{
    explicit probe_progress(net::io_context& io)
        : done(std::make_shared<async_signal>(io))
    {
    }

    signal_ptr done;
    std::size_t pending = 0;
    bool connected = false;
};

net::awaitable<void> try_server(
    worker& w, state::endpoint server, state::duration timeout,
    std::shared_ptr<probe_progress> progress)
{
    bool const connected = co_await w.http().can_connect(std::move(server), timeout);
    progress->connected = progress->connected || connected;
    if (--progress->pending == 0 || progress->connected)
        progress->done->notify();
}

} // namespace

void reach_prober::start()
{
    subscription_ = context_.timers.every(check_period, [this] { probe_due_services(); });
}

void reach_prober::probe_due_services()
{
    for (auto& due : context_.tables.reach.take_due_probes(now()))
    {
        auto probing = probe(std::move(due));
        net::co_spawn(context_.workers.at(0).io(), std::move(probing), net::detached);
    }
}

std::vector<state::listed_server> reach_prober::targets(coordination::reach_probe const& due)
{
    auto servers = context_.tables.servers.all(due.service);
    std::erase_if(servers, [](state::server_view const& v) { return v.listed.draining; });
    std::ranges::shuffle(servers, context_.workers.at(0).random());
    // A server whose link has not failed tells more.
    std::ranges::stable_partition(
        servers, [&](state::server_view const& v) { return !due.failed.contains(v.listed.id); });
    servers.resize(std::min(servers.size(), due.max_servers));
    std::vector<state::listed_server> chosen;
    chosen.reserve(servers.size());
    for (auto& v : servers)
        chosen.push_back(std::move(v.listed));
    return chosen;
}

net::awaitable<void> reach_prober::probe(coordination::reach_probe due)
{
    auto& w = context_.workers.at(0);
    auto const servers = targets(due);
    // A service without servers is not out of reach.
    std::set<state::backend_id> tried;
    if (servers.empty())
    {
        apply(due.service, true, tried);
        co_return;
    }
    auto const progress = std::make_shared<probe_progress>(w.io());
    progress->pending = servers.size();
    context_.tables.counters.increment(state::event_counter::reach_probes, servers.size());
    for (auto const& server : servers)
    {
        tried.insert(server.id);
        auto attempt = try_server(w, server.address, context_.settings.connect_timeout, progress);
        net::co_spawn(w.io(), std::move(attempt), net::detached);
    }
    co_await progress->done->wait(context_.settings.connect_timeout + timeout_margin);
    apply(due.service, progress->connected, tried);
}

void reach_prober::apply(
    state::service_id const& service, bool connected, std::set<state::backend_id> const& tried)
{
    using coordination::reach_change;
    using state::event_counter;
    auto& tables = context_.tables;
    auto const change = tables.reach.record_probe(service, connected, tried, now());
    if (change == reach_change::none)
        return;
    bool const is_lost = change == reach_change::lost;
    if (!is_lost)
    {
        tables.relays.forget(service);
        tables.servers.record_link(service);
    }
    tables.counters.increment(
        is_lost ? event_counter::services_lost : event_counter::services_regained);
    log(is_lost ? log_event::service_unreachable : log_event::service_reachable,
        {{"service", service.str()}});
}

} // namespace auburnweir::transport
