#include "state/backend_table.hpp"

#include <algorithm>

namespace auburnweir::state
{

namespace
{

constexpr double first_token_ewma_weight = 0.2;

backend_view new_view(backend_server const& server, time_point now)
{
    backend_view view;
    view.id = server.id;
    view.active_since = now;
    return view;
}

void copy_settings(configuration const& config, backend_server const& server, backend_view& view)
{
    auto const* domain = config.find(server.failure_domain);
    view.service = server.service;
    view.failure_domain = server.failure_domain;
    view.region = domain->region;
    view.version = server.version;
    view.concurrency = server.concurrency;
    view.price = server.price.count() > 0 ? server.price : domain->price;
}

} // namespace

void backend_table::apply(configuration const& config, time_point now)
{
    ranked_lock lock(mutex_);
    std::unordered_map<backend_id, backend_view> next;
    std::unordered_map<service_id, std::vector<backend_id>> by_service;
    for (auto const& [id, server] : config.backends())
    {
        auto const previous = views_.find(id);
        auto view = previous == views_.end() ? new_view(server, now) : previous->second;
        copy_settings(config, server, view);
        by_service[server.service].push_back(id);
        next.emplace(id, std::move(view));
    }
    views_ = std::move(next);
    by_service_ = std::move(by_service);
    ++revision_;
}

std::vector<backend_view> backend_table::routable(service_id const& service, time_point now) const
{
    std::vector<backend_id> members;
    {
        ranked_lock lock(mutex_);
        auto const it = by_service_.find(service);
        if (it != by_service_.end())
            members = it->second;
    }
    return routable(members, now);
}

std::vector<backend_view> backend_table::routable(
    std::vector<backend_id> const& ids, time_point now) const
{
    std::vector<backend_view> found;
    found.reserve(ids.size());
    ranked_lock lock(mutex_);
    for (auto const& id : ids)
    {
        auto const it = views_.find(id);
        if (it == views_.end())
            continue;
        auto const& view = it->second;
        if (!view.leaving && !(view.ejected_until && now < *view.ejected_until))
            found.push_back(view);
    }
    return found;
}

std::vector<backend_view> backend_table::not_leaving(service_id const& service) const
{
    std::vector<backend_view> found;
    ranked_lock lock(mutex_);
    auto const members = by_service_.find(service);
    if (members == by_service_.end())
        return found;
    for (auto const& id : members->second)
        if (!views_.at(id).leaving)
            found.push_back(views_.at(id));
    return found;
}

std::uint64_t backend_table::revision() const
{
    ranked_lock lock(mutex_);
    return revision_;
}

std::vector<backend_view> backend_table::all() const
{
    std::vector<backend_view> found;
    ranked_lock lock(mutex_);
    for (auto const& [id, view] : views_)
        found.push_back(view);
    return found;
}

std::optional<backend_view> backend_table::find(backend_id const& id) const
{
    ranked_lock lock(mutex_);
    auto const it = views_.find(id);
    return it == views_.end() ? std::nullopt : std::optional{it->second};
}

void backend_table::record_sent(backend_id const& id, token_count prompt)
{
    ranked_lock lock(mutex_);
    auto const it = views_.find(id);
    if (it == views_.end())
        return;
    ++it->second.in_flight;
    ++it->second.sent_since_report;
    it->second.prefill_since_report += prompt;
}

void backend_table::record_end(backend_id const& id)
{
    ranked_lock lock(mutex_);
    auto const it = views_.find(id);
    if (it == views_.end())
        return;
    --it->second.in_flight;
    ++it->second.ended_since_report;
}

void backend_table::record_load(backend_id const& id, load_report const& report)
{
    ranked_lock lock(mutex_);
    auto const it = views_.find(id);
    if (it == views_.end() || report.at < it->second.report.at)
        return;
    it->second.report = report;
    it->second.sent_since_report = 0;
    it->second.ended_since_report = 0;
    it->second.prefill_since_report = token_count{0};
}

void backend_table::record_first_token(backend_id const& id, duration waited)
{
    ranked_lock lock(mutex_);
    auto const it = views_.find(id);
    if (it == views_.end())
        return;
    auto& ewma = it->second.first_token_ewma_seconds;
    auto const seconds = std::chrono::duration<double>(waited).count();
    ewma = ewma == 0 ? seconds : ewma + first_token_ewma_weight * (seconds - ewma);
}

void backend_table::record_success(backend_id const& id)
{
    ranked_lock lock(mutex_);
    auto const it = views_.find(id);
    if (it == views_.end())
        return;
    it->second.consecutive_failures = 0;
    it->second.ejections = 0;
}

int backend_table::record_failure(backend_id const& id)
{
    ranked_lock lock(mutex_);
    auto const it = views_.find(id);
    return it == views_.end() ? 0 : ++it->second.consecutive_failures;
}

void backend_table::eject(backend_id const& id, time_point until)
{
    ranked_lock lock(mutex_);
    auto const it = views_.find(id);
    if (it == views_.end())
        return;
    it->second.ejected_until = until;
    it->second.active_since = until;
    it->second.consecutive_failures = 0;
    ++it->second.ejections;
}

double backend_table::ejected_share(service_id const& service, time_point now) const
{
    ranked_lock lock(mutex_);
    auto const members = by_service_.find(service);
    if (members == by_service_.end() || members->second.empty())
        return 0;
    auto const ejected = std::count_if(
        members->second.begin(), members->second.end(),
        [&](backend_id const& id)
        {
            auto const& until = views_.at(id).ejected_until;
            return until && now < *until;
        });
    return static_cast<double>(ejected) / static_cast<double>(members->second.size());
}

bool backend_table::mark_leaving(backend_id const& id, leaving_mark mark)
{
    ranked_lock lock(mutex_);
    auto const it = views_.find(id);
    if (it == views_.end() || it->second.leaving)
        return false;
    it->second.leaving = mark;
    ++revision_;
    return true;
}

bool backend_table::is_leaving(backend_id const& id) const
{
    ranked_lock lock(mutex_);
    auto const it = views_.find(id);
    return it != views_.end() && it->second.leaving.has_value();
}

} // namespace auburnweir::state
