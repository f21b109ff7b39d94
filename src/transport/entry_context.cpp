#include "transport/entry_context.hpp"

#include "coordination/gossip.hpp"
#include "protocol/digest.hpp"
#include "transport/clock.hpp"
#include "transport/log.hpp"

namespace auburnweir::transport
{

namespace
{

constexpr std::size_t max_prefix_entries = 65536;
constexpr state::duration prefix_lifetime = std::chrono::minutes{5};

coordination::routing_policy routing_policy_named(std::string const& name)
{
    if (name == "round_robin")
        return coordination::round_robin{};
    if (name == "least_loaded")
        return coordination::least_loaded{};
    if (name == "power_of_two")
        return coordination::power_of_two{};
    return coordination::predicted_first_token{};
}

coordination::retry_settings retry_settings_of(protocol::entry_settings const& settings)
{
    coordination::retry_settings retry;
    retry.budget_share = settings.retry_budget;
    retry.max_attempts = static_cast<int>(settings.most_attempts);
    return retry;
}

} // namespace

entry_tables::entry_tables(protocol::entry_settings const& settings)
    : prefixes(max_prefix_entries, prefix_lifetime)
    , router(routing_policy_named(settings.routing), prefixes)
    , retries(retry_settings_of(settings))
    , outliers({})
    , subsets(settings.id, static_cast<std::size_t>(settings.subset_size))
{
}

state::generation_tag new_generation_tag()
{
    constexpr std::size_t tag_bytes = 4;
    return state::generation_tag{protocol::random_hex(tag_bytes)};
}

std::vector<state::backend_view> entry_context::candidates(state::service_id const& service) const
{
    return tables.subsets.candidates(tables.backends, service, now());
}

void entry_context::record_failure(state::backend_view const& backend) const
{
    auto const failures = tables.backends.record_failure(backend.id);
    auto const view = tables.backends.find(backend.id);
    if (!view)
        return;
    auto const share = tables.backends.ejected_share(backend.service, now());
    auto const ejection_end = tables.outliers.decide_ejection(*view, share, now());
    if (!ejection_end)
        return;
    tables.backends.eject(backend.id, *ejection_end);
    tables.counters.increment(state::event_counter::backends_ejected);
    log(log_event::backend_ejected,
        {{"backend", backend.id.str()}, {"failures", std::to_string(failures)}});
}

void entry_context::mark_leaving(
    state::backend_id const& backend, std::optional<state::duration> time_left,
    std::mt19937_64& random) const
{
    state::leaving_mark mark;
    if (time_left)
        mark.deadline = now() + *time_left;
    if (!tables.backends.mark_leaving(backend, mark))
        return;
    log(log_event::backend_leaving, {{"backend", backend.str()}});
    for (auto const& peer : coordination::gossip_targets(self.id, tables.instances.live(), random))
        peers.send(peer, protocol::backend_leaving{backend, time_left});
}

} // namespace auburnweir::transport
