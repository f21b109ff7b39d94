#include "transport/relay_directory.hpp"

namespace auburnweir::transport
{

std::uint16_t relay_directory::own_port() const
{
    auto const& settings = context_.settings;
    bool const is_reachable = settings.relay_listen.host == settings.peer_listen.host;
    return is_reachable && context_.phase == stop_phase::running ? settings.relay_listen.port : 0;
}

std::set<state::service_id> relay_directory::unreachable_services() const
{
    std::set<state::service_id> services;
    for (auto const& [service, since] : context_.tables.reach.unreachable())
        services.insert(service);
    return services;
}

void relay_directory::add_to(state::instance_report& report)
{
    report.relay_port = own_port();
    report.unreachable = unreachable_services();
    std::lock_guard lock(mutex_);
    reported_ = report.unreachable;
}

bool relay_directory::has_unreported_change() const
{
    auto const unreachable = unreachable_services();
    std::lock_guard lock(mutex_);
    return unreachable != reported_;
}

void relay_directory::update_as_holder(
    std::vector<state::reporting_instance> const& members, state::duration max_silence)
{
    std::vector<coordination::relay_candidate> candidates;
    auto const& settings = context_.settings;
    auto const unreachable = unreachable_services();
    if (auto const port = own_port(); port != 0)
        candidates.push_back(
            {{settings.id,
              context_.incarnation,
              settings.failure_domain,
              {settings.relay_listen.host, port}},
             unreachable});
    for (auto const& member : members)
    {
        auto const& report = member.report;
        bool const is_silent = now() - member.last_report_at > max_silence;
        if (is_silent || report.stopping || report.relay_port == 0)
            continue;
        candidates.push_back(
            {{report.id,
              report.incarnation,
              report.failure_domain,
              {report.peer_address.host, report.relay_port}},
             report.unreachable});
    }
    {
        std::lock_guard lock(mutex_);
        candidates_ = std::move(candidates);
    }
    if (!unreachable.empty())
        context_.tables.relays.assign(assigned(settings.id, settings.failure_domain, unreachable));
}

state::relay_peers relay_directory::relays_for(state::instance_report const& report) const
{
    if (report.unreachable.empty())
        return {};
    return assigned(report.id, report.failure_domain, report.unreachable);
}

state::relay_peers relay_directory::assigned(
    state::instance_id const& instance, state::failure_domain_id const& domain,
    std::set<state::service_id> const& unreachable) const
{
    std::vector<coordination::relay_candidate> others;
    {
        std::lock_guard lock(mutex_);
        others = candidates_;
    }
    std::erase_if(others, [&](auto const& c) { return c.peer.id == instance; });
    return coordination::assign_relays(instance, domain, unreachable, others);
}

} // namespace auburnweir::transport
