#include "transport/engine_poller.hpp"

#include "transport/clock.hpp"

#include <algorithm>

namespace auburnweir::transport
{

namespace
{
constexpr state::duration status_timeout = std::chrono::seconds{1};
constexpr int http_ok = 200;
} // namespace

engine_poller::engine_poller(entry_context& context)
    : context_(context)
    , worker_(context.workers.at(0))
{
}

void engine_poller::poll()
{
    auto const config = context_.tables.configuration.current();
    std::vector<state::backend_id> engine_ids;
    for (auto const& [id, service] : config->services())
    {
        if (!std::holds_alternative<state::engine_service>(service.kind))
            continue;
        for (auto const& view : context_.candidates(id))
            engine_ids.push_back(view.id);
    }
    if (engine_ids.empty())
        return;
    std::sort(engine_ids.begin(), engine_ids.end());
    auto const& chosen = engine_ids[next_engine_++ % engine_ids.size()];
    auto const* server = config->find(chosen);
    if (server)
        net::co_spawn(worker_.io(), read_status(chosen, server->address), net::detached);
}

net::awaitable<void> engine_poller::read_status(state::backend_id id, state::endpoint address)
{
    http_request call;
    call.target = "/status?after=" + std::to_string(last_event_numbers_[id]);
    auto const response = co_await worker_.http().call(address, std::move(call), status_timeout);
    if (!response || response.value().status != http_ok)
        co_return;
    auto const status = protocol::decode_engine_status(response.value().body);
    if (!status)
        co_return;
    auto report = status.value().load;
    report.at = now();
    context_.tables.backends.record_load(id, report);
    if (status.value().leaving)
        context_.mark_leaving(id, std::nullopt, worker_.random());
    apply_cache_events(id, status.value().events);
}

void engine_poller::apply_cache_events(
    state::backend_id const& id, std::vector<protocol::cache_event> const& events)
{
    auto& last = last_event_numbers_[id];
    auto& prefixes = context_.tables.prefixes;
    for (auto const& e : events)
    {
        if (e.sequence <= last)
            continue;
        if (e.sequence != last + 1)
            prefixes.record_event_gap(id, now());
        last = e.sequence;
        if (e.stored)
            prefixes.record_blocks(id, {e.block_hash}, now());
        else
            prefixes.record_eviction(id, e.block_hash);
    }
}

} // namespace auburnweir::transport
