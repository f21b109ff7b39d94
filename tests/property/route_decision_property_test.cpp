#include "coordination/request_admission.hpp"
#include "platform/format.hpp"
#include "protocol/json.hpp"
#include "state/route_table.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

/// Operators write versions of a configuration that add, drop, move and split routes. A gateway
/// reads them, some of them twice, late, from an older copy of the store, or not at all, and starts
/// again in between. It decides on each request as a router that knows the newest version it has
/// read, and nothing else.

namespace auburnweir::coordination
{
namespace
{

using nlohmann::json;
using state::refusal_reason;

constexpr state::duration no_age{0};
constexpr state::time_point arrival{std::chrono::hours{1}};
constexpr freshness_bounds bounds{std::chrono::seconds{3}, std::chrono::seconds{5}};

std::vector<std::string> const hosts{"one.test", "two.test"};
std::vector<std::string> const prefixes{"/",      "/a/",   "/a/b/",   "/a/b/c/", "/ab/",
                                        "/a/bc/", "/b/a/", "/a/b/b/", "/c/"};
std::vector<std::string> const services{"desk", "engine", "archive"};
std::vector<std::string> const keys{"key-1", "key-2", "key-3"};

int drawn(int from, int to)
{
    return *rc::gen::inRange(from, to);
}

template <class T>
T const& drawn_of(std::vector<T> const& all)
{
    return all[static_cast<std::size_t>(drawn(0, static_cast<int>(all.size())))];
}

/// The configuration as operators see it: the routes by host and prefix.
struct written_configuration
{
    int version = 1;
    std::map<std::pair<std::string, std::string>, json> routes;
    std::map<std::string, std::set<std::string>> keys_by_organisation;

    std::string text() const
    {
        json body{{"version", version}, {"routes", json::array()}, {"services", json::array()}};
        for (auto const& [place, route] : routes)
            body["routes"].push_back(route);
        for (auto const& service : services)
            body["services"].push_back({{"name", service}});
        for (auto const& [organisation, held] : keys_by_organisation)
            body["tenants"].push_back({{"name", organisation}, {"apiKeys", held}});
        return body.dump();
    }
};

json drawn_route(std::string const& host, std::string const& prefix)
{
    json route{
        {"name", host + prefix},
        {"host", host},
        {"prefix", prefix},
        {"routeType", "safe"},
        {"timeoutMs", drawn(1, 20) * 100},
        {"maxAttempts", 2},
        {"anonymous", drawn(0, 2) == 0}};
    if (drawn(0, 3) > 0)
    {
        route["service"] = drawn_of(services);
        return route;
    }
    for (auto const& service : services)
        route["split"].push_back({{"service", service}, {"weight", drawn(0, 3)}});
    route["split"][0]["weight"] = 1;
    return route;
}

void add_many_routes(written_configuration& configuration)
{
    auto const count = drawn(100, 400);
    for (int i = 0; i < count; ++i)
    {
        auto const prefix = "/many/" + std::to_string(i) + "/";
        configuration.routes[{hosts[0], prefix}] = drawn_route(hosts[0], prefix);
    }
}

void write_next_version(written_configuration& configuration)
{
    configuration.version += drawn(1, 5);
    auto const changes = drawn(1, 4);
    for (int i = 0; i < changes; ++i)
    {
        auto const& host = drawn_of(hosts);
        auto const& prefix = drawn_of(prefixes);
        auto const& key = drawn_of(keys);
        auto& held = configuration.keys_by_organisation["organisation-" + key.substr(4)];
        switch (drawn(0, 8))
        {
        case 0:
            configuration.routes.erase({host, prefix});
            break;
        case 1:
            held.erase(key);
            break;
        case 2:
            held.insert(key);
            break;
        case 3:
            add_many_routes(configuration);
            break;
        default:
            configuration.routes[{host, prefix}] = drawn_route(host, prefix);
        }
    }
}

struct drawn_request
{
    std::string host;
    std::string target;
    std::string key;
    std::optional<int> timeout_ms;
};

drawn_request draw_request()
{
    drawn_request request;
    request.host = drawn_of(hosts);
    if (drawn(0, 3) == 0)
        request.host += ":8080";
    if (drawn(0, 3) == 0)
        request.host[0] = static_cast<char>(std::toupper(request.host[0]));
    auto prefix = drawn_of(prefixes);
    if (drawn(0, 4) == 0)
        prefix = "/many/" + std::to_string(drawn(0, 400)) + "/";
    if (drawn(0, 5) == 0)
        prefix.pop_back(); // does not match its own route
    request.target = prefix + "x" + std::to_string(drawn(0, 100));
    if (drawn(0, 3) == 0)
        request.target += "?q=/a/b/";
    if (drawn(0, 2) == 0)
        request.key = drawn(0, 5) == 0 ? "unknown" : drawn_of(keys);
    if (drawn(0, 2) == 0)
        request.timeout_ms = drawn(1, 30) * 100;
    return request;
}

/// What a configuration says of a request, in the words of the operators' pages.
struct reference_decision
{
    std::optional<refusal_reason> refused;
    std::set<std::string> services;
    int timeout_ms = 0;
};

reference_decision decide(written_configuration const& configuration, drawn_request const& request)
{
    auto host = request.host.substr(0, request.host.find(':'));
    std::ranges::transform(host, host.begin(), [](unsigned char c) { return std::tolower(c); });
    auto const path = request.target.substr(0, request.target.find('?'));
    json const* longest = nullptr;
    for (auto const& [place, route] : configuration.routes)
    {
        auto const& [of_host, prefix] = place;
        bool const matches = of_host == host && path.compare(0, prefix.size(), prefix) == 0;
        if (matches &&
            (!longest || prefix.size() > longest->at("prefix").get<std::string>().size()))
            longest = &route;
    }
    if (!longest)
        return {refusal_reason::unknown_route, {}, 0};
    bool const key_is_known = std::ranges::any_of(
        configuration.keys_by_organisation,
        [&](auto const& entry) { return entry.second.contains(request.key); });
    bool const needs_key =
        !configuration.keys_by_organisation.empty() && !longest->at("anonymous").get<bool>();
    if (needs_key && !key_is_known)
        return {refusal_reason::unauthorised, {}, 0};
    reference_decision decision;
    if (longest->contains("service"))
        decision.services = {longest->at("service")};
    else
        for (auto const& target : longest->at("split"))
            if (target.at("weight") > 0)
                decision.services.insert(target.at("service"));
    decision.timeout_ms = longest->at("timeoutMs");
    decision.timeout_ms =
        std::min(decision.timeout_ms, request.timeout_ms.value_or(std::numeric_limits<int>::max()));
    return decision;
}

/// A gateway's tables, and which versions it should have in force.
class gateway_under_test
{
public:
    void read(written_configuration const& configuration)
    {
        state::findings found;
        auto routes = platform::format{}.configuration(configuration.text(), found);
        RC_ASSERT(found.empty());
        RC_ASSERT(routes != nullptr);
        table_->apply(std::move(routes));
        if (!in_force_ || configuration.version > in_force_->version)
            record_in_force(configuration);
    }

    void restart()
    {
        table_ = std::make_unique<state::route_table>();
        in_force_.reset();
        added_in_.clear();
    }

    std::optional<written_configuration> const& in_force() const { return in_force_; }

    void expect_decision(drawn_request const& request)
    {
        state::forwarded_request header;
        header.id = state::request_id{std::to_string(drawn(0, 100'000))};
        header.key = request.key;
        if (request.timeout_ms)
            header.timeout = std::chrono::milliseconds{*request.timeout_ms};
        auto const routes = table_->current();
        auto const decision = admit_request(
            {header, request.host, request.target, *routes, no_age, arrival}, bounds, quotas_);
        auto const expected = decide(*in_force_, request);
        if (auto const* refused = std::get_if<request_refused>(&decision))
        {
            RC_ASSERT(expected.refused.has_value());
            RC_ASSERT(refused->reason == *expected.refused);
            return;
        }
        RC_ASSERT(!expected.refused.has_value());
        auto const& admitted = std::get<request_admitted>(decision);
        RC_ASSERT(expected.services.contains(admitted.service.str()));
        RC_ASSERT(admitted.deadline == arrival + std::chrono::milliseconds{expected.timeout_ms});
        RC_ASSERT(table_->added_in(*admitted.route) == added_in_.at(place_of(*admitted.route)));
    }

private:
    using place = std::pair<std::string, std::string>;
    using version_of_place = std::map<place, std::optional<state::configuration_version>>;

    static place place_of(state::route const& r) { return {r.host, r.prefix}; }

    void record_in_force(written_configuration const& configuration)
    {
        state::configuration_version const version{
            static_cast<std::uint64_t>(configuration.version)};
        version_of_place added;
        for (auto const& [where, route] : configuration.routes)
        {
            auto const known = added_in_.find(where);
            if (known != added_in_.end())
                added[where] = known->second;
            else
                added[where] = in_force_ ? std::optional{version} : std::nullopt;
        }
        added_in_ = std::move(added);
        in_force_ = configuration;
    }

    std::unique_ptr<state::route_table> table_ = std::make_unique<state::route_table>();
    shared_quota quotas_{0.95};
    std::optional<written_configuration> in_force_;
    version_of_place added_in_;
};

// CONFIG: requests on added routes were decided by something other than the version in force.
RC_GTEST_PROP(route_decision, any_versions_read_in_any_order_decide_as_the_newest_read, ())
{
    written_configuration newest;
    for (auto const& host : hosts)
        newest.routes[{host, "/a/"}] = drawn_route(host, "/a/");
    newest.keys_by_organisation["organisation-1"] = {"key-1"};
    std::vector<written_configuration> written{newest};
    gateway_under_test gateway;
    gateway.read(newest);
    auto const steps = drawn(1, 12);
    for (int i = 0; i < steps; ++i)
    {
        write_next_version(newest);
        written.push_back(newest);
        if (drawn(0, 8) == 0)
            gateway.restart();
        auto const readings = drawn(0, 3);
        for (int k = 0; k < readings; ++k)
            gateway.read(drawn(0, 3) == 0 ? drawn_of(written) : newest);
        if (!gateway.in_force())
            gateway.read(newest);
        for (int k = 0; k < 20; ++k)
            gateway.expect_decision(draw_request());
    }
}

} // namespace
} // namespace auburnweir::coordination
