#include "transport/backend_poll.hpp"

#include "transport/clock.hpp"

#include <algorithm>

namespace auburnweir::transport
{

namespace
{
constexpr state::duration status_limit = std::chrono::seconds{1};
constexpr int http_ok = 200;
} // namespace

backend_poll::backend_poll(entry_context& context)
    : context_(context)
    , home_(context.workers.at(0))
{
}

void backend_poll::poll()
{
    auto const config = context_.tables.configuration.current();
    std::vector<state::backend_id> mine;
    for (auto const& [id, service] : config->services())
    {
        if (!std::holds_alternative<state::engine_service>(service.kind))
            continue;
        for (auto const& view : context_.candidates(id))
            mine.push_back(view.id);
    }
    if (mine.empty())
        return;
    std::sort(mine.begin(), mine.end());
    auto const& chosen = mine[turn_++ % mine.size()];
    auto const* server = config->find(chosen);
    if (server)
        net::co_spawn(home_.io(), read_status(chosen, server->address), net::detached);
}

net::awaitable<void> backend_poll::read_status(state::backend_id id, state::endpoint address)
{
    http_request call;
    call.target = "/status?after=" + std::to_string(last_event_[id]);
    auto const reply = co_await home_.http().call(address, std::move(call), status_limit);
    if (!reply || reply.value().status != http_ok)
        co_return;
    auto const status = protocol::decode_engine_status(reply.value().body);
    if (!status)
        co_return;
    auto report = status.value().load;
    report.at = now();
    context_.tables.backends.record_load(id, report);
    if (status.value().leaving)
        context_.mark_leaving(id, std::nullopt, home_.random());
    take_events(id, status.value().events);
}

void backend_poll::take_events(
    state::backend_id const& id, std::vector<protocol::cache_event> const& events)
{
    auto& last = last_event_[id];
    auto& prefixes = context_.tables.prefixes;
    for (auto const& e : events)
    {
        if (e.sequence <= last)
            continue;
        if (e.sequence != last + 1)
            prefixes.record_event_gap(id, now());
        last = e.sequence;
        if (e.stored)
            prefixes.record_blocks(id, {e.block}, now());
        else
            prefixes.record_eviction(id, e.block);
    }
}

} // namespace auburnweir::transport
