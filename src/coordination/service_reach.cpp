#include "coordination/service_reach.hpp"

#include "state/overloaded.hpp"

#include <algorithm>
#include <utility>

namespace auburnweir::coordination
{

namespace
{

/// Servers whose links fail, with no success in between, before the service is suspected. A single
/// one may have failed itself.
constexpr std::size_t min_failed_servers = 2;

/// After a service was regained its link may still be unsteady, so one failure is enough.
constexpr state::duration unsteady_time = std::chrono::seconds{5};

constexpr std::size_t servers_per_suspicion = 3;

/// Servers of the second probe. A cut towards a part of the servers leaves others, which are used
/// directly.
constexpr std::size_t servers_per_confirmation = 12;

/// Interval between probes of a service that is not reached.
constexpr state::duration probe_interval = std::chrono::milliseconds{500};

/// Servers that fail in turn cause no more probes than this.
constexpr state::duration min_suspicion_interval = std::chrono::milliseconds{300};

/// Configurations have far fewer; others are ignored.
constexpr std::size_t max_services = 1024;

} // namespace

void service_reach::record_contact(
    state::service_id const& service, state::backend_id const& server, bool is_new_connection,
    state::time_point now)
{
    state::ranked_lock lock(mutex_);
    if (entries_.size() >= max_services && !entries_.contains(service))
        return;
    auto& e = entries_[service];
    if (e.last.server != server)
        e.last_of_other = e.last;
    e.last = {server, now};
    e.lost.clear();
    if (is_new_connection)
        e.unconnected.clear();
}

void service_reach::record_failure(
    state::service_id const& service, state::backend_id const& server, link_failure failure,
    std::size_t servers, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    if (entries_.size() >= max_services && !entries_.contains(service))
        return;
    auto& e = entries_[service];
    auto& failed = failure == link_failure::connect_failed ? e.unconnected : e.lost;
    failed.insert(server);
    bool const is_unsteady = e.regained_at && now - *e.regained_at < unsteady_time;
    auto const needed = is_unsteady ? 1 : std::min(min_failed_servers, servers);
    if (failed.size() >= needed)
        suspect(e, now);
}

void service_reach::suspect(entry& e, state::time_point now)
{
    if (!std::holds_alternative<service_reachable>(e.state))
        return;
    if (e.probed_at && now - *e.probed_at < min_suspicion_interval)
        return;
    e.state = service_suspected{now};
}

void service_reach::suspect_others(state::service_id const& service, state::time_point now)
{
    for (auto& [other, e] : entries_)
        if (other != service)
            suspect(e, now);
}

std::vector<reach_probe> service_reach::take_due_probes(state::time_point now)
{
    state::ranked_lock lock(mutex_);
    std::vector<reach_probe> due;
    for (auto& item : entries_)
    {
        auto const& service = item.first;
        auto& e = item.second;
        std::visit(
            state::overloaded{
                [](service_reachable const&) {},
                [&](service_suspected& s)
                {
                    if (std::exchange(s.probe_is_running, true))
                        return;
                    auto failed = e.unconnected;
                    failed.insert(e.lost.begin(), e.lost.end());
                    auto const servers =
                        s.is_confirming ? servers_per_confirmation : servers_per_suspicion;
                    due.push_back({service, std::move(failed), servers});
                },
                [&](service_unreachable& s)
                {
                    if (now < s.next_probe_at)
                        return;
                    s.next_probe_at = now + probe_interval;
                    due.push_back({service, {}, 1});
                }},
            e.state);
    }
    return due;
}

reach_change service_reach::record_probe(
    state::service_id const& service, bool connected, std::set<state::backend_id> const& tried,
    state::time_point now)
{
    state::ranked_lock lock(mutex_);
    auto& e = entries_[service];
    e.probed_at = now;
    bool const was_unreachable = std::holds_alternative<service_unreachable>(e.state);
    if (connected)
    {
        e.state = service_reachable{};
        e.unconnected.clear();
        e.lost.clear();
        e.connected_at = now;
        if (was_unreachable)
            e.regained_at = now;
        return was_unreachable ? reach_change::regained : reach_change::none;
    }
    if (was_unreachable)
        return reach_change::none;
    e.unconnected.insert(tried.begin(), tried.end());
    if (auto* s = std::get_if<service_suspected>(&e.state); s && !s->is_confirming)
    {
        s->is_confirming = true;
        s->probe_is_running = false;
        suspect_others(service, now);
        return reach_change::none;
    }
    e.state = service_unreachable{now, now + probe_interval};
    return reach_change::lost;
}

bool service_reach::is_unreachable(state::service_id const& service) const
{
    state::ranked_lock lock(mutex_);
    auto const found = entries_.find(service);
    return found != entries_.end() &&
           std::holds_alternative<service_unreachable>(found->second.state);
}

bool service_reach::may_reach(
    state::service_id const& service, state::time_point first_listed_at) const
{
    state::ranked_lock lock(mutex_);
    auto const found = entries_.find(service);
    if (found == entries_.end())
        return true;
    auto const* lost = std::get_if<service_unreachable>(&found->second.state);
    return !lost || first_listed_at > lost->since;
}

std::map<state::service_id, state::time_point> service_reach::unreachable() const
{
    state::ranked_lock lock(mutex_);
    std::map<state::service_id, state::time_point> result;
    for (auto const& [service, e] : entries_)
        if (auto const* s = std::get_if<service_unreachable>(&e.state))
            result.emplace(service, s->since);
    return result;
}

link_verdict service_reach::link_to(
    state::service_id const& service, state::backend_id const& server, state::time_point lost_at,
    state::time_point now)
{
    state::ranked_lock lock(mutex_);
    auto const found = entries_.find(service);
    if (found == entries_.end())
        return link_verdict::unknown;
    auto& e = found->second;
    if (std::holds_alternative<service_unreachable>(e.state))
        return link_verdict::cut;
    auto const& other = e.last.server == server ? e.last_of_other : e.last;
    bool const has_contact = !other.server.empty() && other.at >= lost_at;
    bool const has_connected = e.connected_at && *e.connected_at >= lost_at;
    if (has_contact || has_connected)
        return link_verdict::sound;
    suspect(e, now);
    return link_verdict::unknown;
}

} // namespace auburnweir::coordination
