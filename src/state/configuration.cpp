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

configuration::builder& configuration::builder::add(organisation value, text_location place)
{
    auto const section = section_of(value);
    if (!model_.digests_.emplace(value.bearer_digest, value.id).second)
        duplicates_.push_back(
            {place.file, place.line, section, "bearer token already belongs to another"});
    return insert(model_.organisations_, std::move(value), std::move(place));
}

configuration::builder& configuration::builder::add(failure_domain value, text_location place)
{
    return insert(model_.domains_, std::move(value), std::move(place));
}

configuration::builder& configuration::builder::add(service value, text_location place)
{
    return insert(model_.services_, std::move(value), std::move(place));
}

configuration::builder& configuration::builder::add(backend_server value, text_location place)
{
    return insert(model_.backends_, std::move(value), std::move(place));
}

template <class Id, class Value>
configuration::builder& configuration::builder::insert(
    std::map<Id, Value>& into, Value value, text_location place)
{
    auto const section = section_of(value);
    auto const id = value.id;
    if (!into.emplace(id, std::move(value)).second)
        duplicates_.push_back({place.file, place.line, section, "section stands twice"});
    places_[section] = std::move(place);
    return *this;
}

void configuration::builder::report(
    std::string const& section, std::string reason, findings& out) const
{
    auto const it = places_.find(section);
    auto const place = it == places_.end() ? text_location{} : it->second;
    out.push_back({place.file, place.line, section, std::move(reason)});
}

void configuration::builder::check_references(findings& out) const
{
    for (auto const& [id, s] : model_.services_)
        for (auto const& needed : s.depends_on)
            if (!model_.find(needed))
                report(section_of(s), "depends on unknown service " + needed.str(), out);
    for (auto const& [id, b] : model_.backends_)
    {
        if (!model_.find(b.service))
            report(section_of(b), "belongs to unknown service " + b.service.str(), out);
        if (!model_.find(b.failure_domain))
            report(
                section_of(b), "stands in unknown failure domain " + b.failure_domain.str(), out);
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
    enum class mark
    {
        open,
        done
    };
    std::map<service_id, mark> marks;
    std::function<void(service const&)> visit = [&](service const& s)
    {
        marks[s.id] = mark::open;
        for (auto const& needed : s.depends_on)
        {
            auto const* next = model_.find(needed);
            if (!next)
                continue;
            auto const it = marks.find(needed);
            if (it == marks.end())
                visit(*next);
            else if (it->second == mark::open)
                report(section_of(s), "dependency cycle through " + needed.str(), out);
        }
        marks[s.id] = mark::done;
    };
    for (auto const& [id, s] : model_.services_)
        if (!marks.contains(id))
            visit(s);
}

configuration_ptr configuration::builder::build(findings& out)
{
    out.insert(out.end(), duplicates_.begin(), duplicates_.end());
    if (model_.services_.empty())
        out.push_back({"", 0, "service", "the text lists no service"});
    check_references(out);
    check_cycles(out);
    if (!out.empty())
        return nullptr;
    return std::make_shared<configuration const>(std::move(model_));
}

} // namespace auburnweir::state
