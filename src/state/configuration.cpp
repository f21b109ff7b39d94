#include "state/configuration.hpp"

#include <functional>

namespace auburnweir::state
{

namespace
{

template <class Map, class Key>
auto find_in(Map const& map, Key const& key) -> decltype(&map.begin()->second)
{
    auto const it = map.find(key);
    return it == map.end() ? nullptr : &it->second;
}

std::string section_of(organisation const& v)
{
    return "organisation " + v.id.str();
}
std::string section_of(failure_domain const& v)
{
    return "failure_domain " + v.id.str();
}
std::string section_of(service const& v)
{
    return "service " + v.id.str();
}
std::string section_of(backend_server const& v)
{
    return "backend " + v.id.str();
}

} // namespace

organisation const* configuration::find(organisation_id const& id) const
{
    return find_in(organisations_, id);
}

service const* configuration::find(service_id const& id) const
{
    return find_in(services_, id);
}

failure_domain const* configuration::find(failure_domain_id const& id) const
{
    return find_in(domains_, id);
}

backend_server const* configuration::find(backend_id const& id) const
{
    return find_in(backends_, id);
}

organisation const* configuration::organisation_of(sha256_digest const& digest) const
{
    auto const it = digests_.find(digest);
    return it == digests_.end() ? nullptr : find(it->second);
}

configuration::builder& configuration::builder::add(organisation value, text_location location)
{
    auto const section = section_of(value);
    if (!model_.digests_.emplace(value.bearer_digest, value.id).second)
        duplicates_.push_back(
            {location.file, location.line, section, "bearer token already belongs to another"});
    return insert(model_.organisations_, std::move(value), std::move(location));
}

configuration::builder& configuration::builder::add(failure_domain value, text_location location)
{
    return insert(model_.domains_, std::move(value), std::move(location));
}

configuration::builder& configuration::builder::add(service value, text_location location)
{
    return insert(model_.services_, std::move(value), std::move(location));
}

configuration::builder& configuration::builder::add(backend_server value, text_location location)
{
    return insert(model_.backends_, std::move(value), std::move(location));
}

template <class Id, class Value>
configuration::builder& configuration::builder::insert(
    std::map<Id, Value>& into, Value value, text_location location)
{
    auto const section = section_of(value);
    auto const id = value.id;
    if (!into.emplace(id, std::move(value)).second)
        duplicates_.push_back({location.file, location.line, section, "duplicate section"});
    locations_[section] = std::move(location);
    return *this;
}

void configuration::builder::report(
    std::string const& section, std::string reason, findings& out) const
{
    auto const it = locations_.find(section);
    auto const location = it == locations_.end() ? text_location{} : it->second;
    out.push_back({location.file, location.line, section, std::move(reason)});
}

void configuration::builder::check_references(findings& out) const
{
    for (auto const& [id, s] : model_.services_)
        for (auto const& dependency : s.depends_on)
            if (!model_.find(dependency))
                report(section_of(s), "depends on unknown service " + dependency.str(), out);
    for (auto const& [id, b] : model_.backends_)
    {
        if (!model_.find(b.service))
            report(section_of(b), "belongs to unknown service " + b.service.str(), out);
        if (!model_.find(b.failure_domain))
            report(
                section_of(b), "refers to unknown failure domain " + b.failure_domain.str(), out);
    }
    for (auto const& [id, s] : model_.services_)
    {
        auto const* plain = std::get_if<plain_service>(&s.kind);
        if (!plain)
            continue;
        for (auto const& op : plain->idempotent)
            if (!plain->operations.contains(op))
                report(section_of(s), "idempotent operation " + op.str() + " is not listed", out);
    }
}

void configuration::builder::check_cycles(findings& out) const
{
    enum class visit_state
    {
        in_progress,
        done
    };
    std::map<service_id, visit_state> states;
    std::function<void(service const&)> visit = [&](service const& s)
    {
        states[s.id] = visit_state::in_progress;
        for (auto const& dependency : s.depends_on)
        {
            auto const* next = model_.find(dependency);
            if (!next)
                continue;
            auto const it = states.find(dependency);
            if (it == states.end())
                visit(*next);
            else if (it->second == visit_state::in_progress)
                report(section_of(s), "dependency cycle through " + dependency.str(), out);
        }
        states[s.id] = visit_state::done;
    };
    for (auto const& [id, s] : model_.services_)
        if (!states.contains(id))
            visit(s);
}

configuration_ptr configuration::builder::build(findings& out)
{
    out.insert(out.end(), duplicates_.begin(), duplicates_.end());
    if (model_.services_.empty())
        out.push_back({"", 0, "service", "no service is defined"});
    check_references(out);
    check_cycles(out);
    if (!out.empty())
        return nullptr;
    return std::make_shared<configuration const>(std::move(model_));
}

} // namespace auburnweir::state
