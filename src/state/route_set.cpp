#include "state/route_set.hpp"

#include <algorithm>
#include <cctype>
#include <xxhash.h>

namespace auburnweir::state
{

service_id const& route::target_of(std::string_view request) const
{
    std::int64_t total = 0;
    for (auto const& t : targets)
        total += t.weight;
    if (targets.size() == 1 || total <= 0)
        return targets.front().service;
    auto draw = static_cast<std::int64_t>(
        XXH3_64bits(request.data(), request.size()) % static_cast<std::uint64_t>(total));
    for (auto const& t : targets)
    {
        if (draw < t.weight)
            return t.service;
        draw -= t.weight;
    }
    return targets.back().service;
}

route const* route_set::find(std::string_view host, std::string_view path) const
{
    auto const it = routes_by_host_.find(normalised_host(host));
    if (it == routes_by_host_.end())
        return nullptr;
    auto const longest = std::find_if(
        it->second.begin(), it->second.end(),
        [&](route const& r) { return path.starts_with(r.prefix); });
    return longest == it->second.end() ? nullptr : &*longest;
}

std::vector<route const*> route_set::routes_named(route_id const& id) const
{
    std::vector<route const*> named;
    for (auto const& [host, routes] : routes_by_host_)
        for (auto const& r : routes)
            if (r.id == id)
                named.push_back(&r);
    return named;
}

std::vector<route const*> route_set::routes() const
{
    std::vector<route const*> all;
    all.reserve(route_count_);
    for (auto const& [host, routes] : routes_by_host_)
        for (auto const& r : routes)
            all.push_back(&r);
    return all;
}

routed_service const* route_set::service(service_id const& id) const
{
    auto const it = std::find_if(
        services_.begin(), services_.end(), [&](routed_service const& s) { return s.id == id; });
    return it == services_.end() ? nullptr : &*it;
}

organisation_quota const* route_set::organisation_of_key(std::string_view key) const
{
    auto const it = organisation_by_key_.find(std::string{key});
    return it == organisation_by_key_.end() ? nullptr : &organisations_[it->second];
}

organisation_quota const* route_set::organisation(organisation_id const& id) const
{
    auto const it = std::ranges::find(organisations_, id, &organisation_quota::id);
    return it == organisations_.end() ? nullptr : &*it;
}

route_set::builder& route_set::builder::version(configuration_version value)
{
    result_.version_ = value;
    return *this;
}

route_set::builder& route_set::builder::limits(caller_limits value)
{
    result_.limits_ = value;
    return *this;
}

route_set::builder& route_set::builder::add(route value)
{
    value.host = normalised_host(value.host);
    ++result_.route_count_;
    result_.routes_by_host_[value.host].push_back(std::move(value));
    return *this;
}

route_set::builder& route_set::builder::add(routed_service value)
{
    result_.services_.push_back(std::move(value));
    return *this;
}

route_set::builder& route_set::builder::add(
    organisation_quota value, std::vector<std::string> const& keys)
{
    auto const index = result_.organisations_.size();
    result_.organisations_.push_back(std::move(value));
    for (auto const& key : keys)
        result_.organisation_by_key_[key] = index;
    return require_keys();
}

route_set::builder& route_set::builder::require_keys()
{
    result_.keys_required_ = true;
    return *this;
}

route_set_ptr route_set::builder::build()
{
    for (auto& [host, routes] : result_.routes_by_host_)
        std::stable_sort(
            routes.begin(), routes.end(),
            [](route const& a, route const& b) { return a.prefix.size() > b.prefix.size(); });
    return std::make_shared<route_set const>(std::move(result_));
}

std::string normalised_host(std::string_view host)
{
    auto const colon = host.rfind(':');
    if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos)
        host = host.substr(0, colon);
    std::string lower{host};
    std::transform(
        lower.begin(), lower.end(), lower.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

} // namespace auburnweir::state
