#include "state/route_history.hpp"

#include <utility>

namespace auburnweir::state
{

namespace
{

/// The prefix begins with a slash, which no host contains.
std::string key_of(route const& r)
{
    return r.host + r.prefix;
}

} // namespace

std::size_t route_history::record(route_set const& routes)
{
    std::unordered_map<std::string, std::optional<configuration_version>> active;
    std::size_t added = 0;
    for (auto const* r : routes.routes())
    {
        auto key = key_of(*r);
        auto const known = added_in_.find(key);
        if (known != added_in_.end())
            active.emplace(std::move(key), known->second);
        else if (!has_first_version_)
            active.emplace(std::move(key), std::nullopt);
        else if (active.emplace(std::move(key), routes.version()).second)
            ++added;
    }
    added_in_ = std::move(active);
    has_first_version_ = true;
    return added;
}

std::optional<configuration_version> route_history::added_in(route const& r) const
{
    auto const it = added_in_.find(key_of(r));
    return it == added_in_.end() ? std::nullopt : it->second;
}

} // namespace auburnweir::state
