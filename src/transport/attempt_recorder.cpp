#include "transport/attempt_recorder.hpp"

#include "coordination/ejection_policy.hpp"
#include "protocol/json.hpp"
#include "state/overloaded.hpp"
#include "transport/async_signal.hpp"
#include "transport/log.hpp"

namespace auburnweir::transport
{

namespace
{

/// Time from the first lost request to the check of its server: the others are lost meanwhile, and
/// the server's process ends.
constexpr state::duration check_delay = std::chrono::milliseconds{50};

/// Interval and limit of the checks whether a lost server or the link to all servers has failed.
/// Losses are forgotten two seconds after the first one.
constexpr state::duration link_check_interval = std::chrono::milliseconds{50};
constexpr state::duration max_link_check_time = std::chrono::milliseconds{1800};

state::server_process_hash process_of(state::server_view const& server)
{
    return coordination::hash_of_process(server.listed.id, server.listed.incarnation);
}

} // namespace

void attempt_recorder::record_start(state::organisation_quota const* organisation)
{
    if (!organisation)
        return;
    auto const since_epoch = context_.clock.true_time().time_since_epoch();
    auto const window = since_epoch / context_.settings.usage_window;
    context_.tables.usage.record(
        {context_.settings.id, context_.incarnation},
        state::window_number{static_cast<std::int64_t>(window)}, organisation->id);
}

void attempt_recorder::record_contact(state::server_view const& server, bool is_new_connection)
{
    if (is_relayed_)
        return;
    context_.tables.reach.record_contact(
        server.listed.service, server.listed.id, is_new_connection, now());
}

void attempt_recorder::record_link_failure(
    state::server_view const& server, coordination::link_failure failure)
{
    if (is_relayed_)
        return;
    auto const servers = context_.tables.servers.all(server.listed.service).size();
    context_.tables.reach.record_failure(
        server.listed.service, server.listed.id, failure, servers, now());
    if (failure != coordination::link_failure::lost)
        context_.tables.servers.record_unconnected(server.listed.id, now());
}

void attempt_recorder::record_end(state::server_view const& server, state::server_outcome outcome)
{
    auto& servers = context_.tables.servers;
    bool const is_of_server = !is_relayed_ || outcome == state::server_outcome::answered ||
                              outcome == state::server_outcome::refused;
    auto const view = servers.record_end(
        server.listed.id, is_of_server ? outcome : state::server_outcome::abandoned, now());
    if (!view)
        return;
    auto const others = servers.all(server.listed.service);
    auto const ejected_until = coordination::decide_ejection(*view, others, now());
    if (!ejected_until)
        return;
    servers.eject(server.listed.id, *ejected_until);
    context_.tables.counters.increment(state::event_counter::backends_ejected);
    auto const eject_for = std::chrono::ceil<std::chrono::milliseconds>(*ejected_until - now());
    log(log_event::backend_ejected, {{"backend", server.listed.id.str()},
                                     {"failures_in_row", std::to_string(view->failures_in_row)},
                                     {"failure_share", std::to_string(view->failure_share)},
                                     {"for_ms", std::to_string(eject_for.count())}});
}

void attempt_recorder::record_statements(
    state::server_view const& server, backend_headers const& response)
{
    auto& tables = context_.tables;
    auto const& id = server.listed.id;
    if (response.load)
    {
        auto const time = now();
        tables.servers.record_load(id, *response.load, time);
        tables.server_observations.record_load(server.listed, *response.load, time);
        if (response.load->work)
            tables.placements.record_work_factor(server.listed.service);
    }
    if (response.leaving && tables.servers.mark_leaving(id, server.listed.incarnation, now()))
    {
        tables.counters.increment(state::event_counter::backends_said_leaving);
        log(log_event::backend_leaving, {{"backend", id.str()}, {"why", "its_answer"}});
    }
    tables.counters.increment(
        state::event_counter::malformed_statements,
        static_cast<std::uint64_t>(response.malformed_statements + response.malformed_loads));
    record_limit(server, response);
    if (response.cold_for)
        record_cold(server, *response.cold_for);
    if (response.returns)
        record_return_time(server, *response.returns);
}

void attempt_recorder::record_replaced(state::server_view const& server)
{
    auto& tables = context_.tables;
    auto const& listed = server.listed;
    if (!tables.servers.record_replaced(listed.id, listed.incarnation, now()))
        return;
    tables.counters.increment(state::event_counter::backends_replaced);
    log(log_event::backend_replaced,
        {{"backend", listed.id.str()},
         {"address", listed.address.host + ":" + std::to_string(listed.address.port)},
         {"life", std::to_string(listed.incarnation.count())}});
}

void attempt_recorder::record_cold(state::server_view const& server, state::duration cold_for)
{
    auto& tables = context_.tables;
    auto const& id = server.listed.id;
    if (!tables.servers.record_cold(id, server.listed.incarnation, cold_for, now()))
        return;
    tables.counters.increment(state::event_counter::backend_cold_times_changed);
    auto const for_ms = std::chrono::ceil<std::chrono::milliseconds>(cold_for).count();
    log(log_event::backend_cold,
        {{"backend", id.str()}, {"for_ms", std::to_string(for_ms)}, {"why", "its_answer"}});
}

void attempt_recorder::record_limit(
    state::server_view const& server, backend_headers const& response)
{
    auto& tables = context_.tables;
    auto const& id = server.listed.id;
    bool const names_no_limit = !response.rate_limit && response.malformed_statements > 0;
    if (names_no_limit ||
        !tables.servers.record_limit(id, server.listed.incarnation, response.rate_limit, now()))
        return;
    tables.counters.increment(state::event_counter::backend_limits_changed);
    if (response.rate_limit)
        log(log_event::backend_limited,
            {{"backend", id.str()}, {"per_second", std::to_string(response.rate_limit->count())}});
    else
        log(log_event::backend_limit_lifted, {{"backend", id.str()}});
}

void attempt_recorder::record_return_time(
    state::server_view const& server, state::return_time const& returns)
{
    auto const named = std::visit(
        state::overloaded{
            [](state::duration wait) { return wait; },
            [&](state::wall_time moment)
            {
                auto const wait = moment - context_.clock.true_time();
                return std::chrono::duration_cast<state::duration>(wait);
            }},
        returns);
    auto const wait = std::clamp(named, state::duration::zero(), context_.settings.max_refusal);
    auto& tables = context_.tables;
    tables.servers.record_refusing(server.listed.id, server.listed.incarnation, now() + wait);
    tables.counters.increment(state::event_counter::backend_return_times_named);
    auto const for_ms = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
    log(log_event::backend_refuses,
        {{"backend", server.listed.id.str()}, {"for_ms", std::to_string(for_ms)}});
}

void attempt_recorder::record_intervals(
    state::listed_server const& server, state::event_intervals const& intervals)
{
    context_.tables.server_observations.record_intervals(server, intervals);
}

void attempt_recorder::record_loss(
    state::server_view const& server, state::forwarded_request const& request)
{
    if (is_relayed_)
        return;
    bool const check_is_due = context_.tables.segment_quarantine.record_loss(
        process_of(server), coordination::evidence_hashes(request), now());
    if (!check_is_due)
        return;
    auto check = check_server(context_, worker_, server);
    net::co_spawn(worker_.io(), std::move(check), net::detached);
}

void attempt_recorder::record_answer(state::forwarded_request const& request)
{
    auto const changes = context_.tables.segment_quarantine.record_answer(request, now());
    record_verdict_changes(context_, changes);
}

void attempt_recorder::record_unreachable(state::server_view const& server)
{
    if (!context_.tables.segment_quarantine.has_losses(process_of(server)))
        return;
    auto confirmation = confirm_crash(context_, worker_, server);
    net::co_spawn(worker_.io(), std::move(confirmation), net::detached);
}

net::awaitable<void> attempt_recorder::check_server(
    gateway_context& context, worker& assigned_worker, state::server_view server)
{
    co_await sleep_for(assigned_worker.io(), check_delay);
    bool const is_reachable = co_await assigned_worker.http().can_connect(
        server.listed.address, context.settings.connect_timeout);
    if (is_reachable)
        context.tables.segment_quarantine.dismiss_losses(process_of(server));
    else
        co_await confirm_crash(context, assigned_worker, server);
}

std::optional<bool> attempt_recorder::server_has_failed(
    gateway_context& context, state::server_view const& server, state::time_point lost_at)
{
    using coordination::link_verdict;
    using coordination::reach_of_others;
    auto& tables = context.tables;
    auto const& service = server.listed.service;
    switch (tables.reach.link_to(service, server.listed.id, lost_at, now()))
    {
    case link_verdict::sound:
        return true;
    case link_verdict::unknown:
        return std::nullopt;
    case link_verdict::cut:
        break;
    }
    // All servers of the service may have failed at once. Then no instance reaches them.
    switch (tables.relays.others_reach(service))
    {
    case reach_of_others::none:
        return true;
    case reach_of_others::some:
        return false;
    case reach_of_others::unknown:
        break;
    }
    return std::nullopt;
}

net::awaitable<void> attempt_recorder::confirm_crash(
    gateway_context& context, worker& assigned_worker, state::server_view server)
{
    auto& tables = context.tables;
    auto const began_at = now();
    auto failed = server_has_failed(context, server, began_at - check_delay);
    while (!failed && now() - began_at < max_link_check_time)
    {
        co_await sleep_for(assigned_worker.io(), link_check_interval);
        failed = server_has_failed(context, server, began_at - check_delay);
    }
    if (!failed.value_or(false))
    {
        tables.counters.increment(state::event_counter::crashes_discounted);
        tables.segment_quarantine.dismiss_losses(process_of(server));
        co_return;
    }
    // A server that ends after its notice ends whatever its requests are.
    if (tables.servers.is_leaving(server.listed.id, server.listed.incarnation))
    {
        tables.segment_quarantine.dismiss_losses(process_of(server));
        co_return;
    }
    if (!tables.segment_quarantine.confirm_crash(process_of(server), now()))
        co_return;
    tables.counters.increment(state::event_counter::backend_crashes_seen);
    log(log_event::backend_crashed,
        {{"backend", server.listed.id.str()},
         {"incarnation", std::to_string(server.listed.incarnation.count())}});
}

void record_verdict_changes(
    gateway_context& context, std::vector<coordination::verdict_change> const& changes)
{
    for (auto const& change : changes)
    {
        context.tables.counters.increment(
            change.quarantined ? state::event_counter::segments_quarantined
                               : state::event_counter::segments_released);
        log(change.quarantined ? log_event::segment_quarantined : log_event::segment_released,
            {{"segment_hash", protocol::hexadecimal(change.segment.count())},
             {"crashes", std::to_string(change.crashes)},
             {"decided_here", change.decided_here ? "yes" : "no"}});
    }
}

} // namespace auburnweir::transport
