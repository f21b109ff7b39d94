#include "soak/soak_deployment.hpp"

#include "support/deployment.hpp"
#include "transport/clock.hpp"

#include <algorithm>
#include <csignal>
#include <thread>

namespace auburnweir::soak
{

namespace
{

using tests::gateway_deployment;
using tests::json;
using transport::now;

/// Time that a stopping gateway has before it is killed.
constexpr int grace_ms = 8000;

/// Time between looks at a stopping gateway.
constexpr int look_ms = 100;

constexpr int slow_ms = 600;
constexpr std::int64_t first_life = 1000; ///< of each backend
constexpr auto step = milliseconds{10};

json organisation(std::string const& name, std::string const& key, double rate)
{
    return {{"name", name}, {"apiKeys", json::array({key})}, {"ratePerS", rate}, {"burst", rate}};
}

std::string turning_key(int number)
{
    return "turning-" + std::to_string(number);
}

json organisations(int key_number)
{
    return json::array(
        {organisation("limited", "limited", limited_rate),
         organisation("turning", turning_key(key_number), 0)});
}

tests::gateway_plan plan_of(soak_size const& size, std::string const& logs)
{
    tests::gateway_plan plan;
    plan.gateways = size.gateways;
    plan.backends = size.backends;
    plan.domains = 2;
    plan.proxied = true;
    plan.logs = logs;
    plan.organisations = organisations(1);
    plan.settings = {{"usage_window_s", "1"}, {"repeat_slack", "500"}};
    return plan;
}

std::string gateway_name(int index)
{
    return "gateway-" + std::to_string(index + 1);
}

} // namespace

soak_deployment::soak_deployment(
    soak_size const& size, std::string const& logs, soak_record& record)
    : size_(size)
    , record_(record)
    , deployment_(plan_of(size, logs))
    , lives_(size.gateways)
    , away_(size.gateways, false)
    , draining_(size.backends, false)
    , backend_lives_(size.backends, first_life)
{
    for (auto& life : lives_)
        life = 1;
}

std::string soak_deployment::key() const
{
    return turning_key(key_number_);
}

void soak_deployment::play(std::vector<planned_fault> const& plan)
{
    auto const begun = now();
    for (auto const& fault : plan)
    {
        run_endings(begun + milliseconds{fault.at_ms});
        place(fault.what);
    }
    run_endings(begun + milliseconds{size_.length_ms});
    while (!endings_.empty())
        run_endings(now() + step);
}

void soak_deployment::for_a_time(
    int ms, json const& harm, json const& heal, std::function<void(json const&)> const& set)
{
    set(harm);
    if (!heal.is_null())
        after(ms, [set, heal] { set(heal); });
}

void soak_deployment::run_endings(moment until)
{
    while (now() < until)
    {
        look_for_exits();
        // An ending may add another one.
        auto const due = std::find_if(
            endings_.begin(), endings_.end(), [](ending const& e) { return e.at <= now(); });
        if (due == endings_.end())
        {
            std::this_thread::sleep_for(step);
            continue;
        }
        auto const undo = std::move(due->undo);
        endings_.erase(due);
        undo();
    }
}

void soak_deployment::after(int ms, std::function<void()> undo)
{
    endings_.push_back({now() + milliseconds{ms}, std::move(undo)});
}

void soak_deployment::disturb(int ms)
{
    std::lock_guard lock(record_.mutex);
    record_.disturbed.push_back({now(), now() + milliseconds{ms}});
}

void soak_deployment::look_for_exits()
{
    for (int i = 0; i < size_.gateways; ++i)
    {
        if (away_[i])
            continue;
        auto const ended = deployment_.gateway(i).wait_for_end(0);
        if (!ended)
            continue;
        record_.violations.push_back(
            gateway_name(i) + " ended by itself with " + std::to_string(*ended));
        restart(i);
    }
}

void soak_deployment::restart(int gateway)
{
    ++lives_[gateway];
    deployment_.start_gateway(gateway);
    away_[gateway] = false;
    disturb(3000);
}

void soak_deployment::place(soak_fault const& fault)
{
    std::visit([this](auto const& f) { place_one(f); }, fault);
}

void soak_deployment::place_one(kill_gateway const& f)
{
    if (away_[f.gateway])
        return;
    away_[f.gateway] = true;
    disturb(f.down_ms);
    deployment_.gateway(f.gateway).kill();
    after(f.down_ms, [this, f] { restart(f.gateway); });
}

void soak_deployment::place_one(pause_gateway const& f)
{
    if (away_[f.gateway])
        return;
    away_[f.gateway] = true;
    disturb(f.for_ms);
    deployment_.gateway(f.gateway).signal(SIGSTOP);
    after(
        f.for_ms,
        [this, f]
        {
            deployment_.gateway(f.gateway).signal(SIGCONT);
            record_.thawed[gateway_name(f.gateway)].push_back(now());
            away_[f.gateway] = false;
        });
}

void soak_deployment::place_one(stop_gateway const& f)
{
    if (away_[f.gateway])
        return;
    away_[f.gateway] = true;
    disturb(grace_ms);
    deployment_.gateway(f.gateway).signal(SIGTERM);
    await_end(f.gateway, now() + milliseconds{grace_ms});
}

void soak_deployment::await_end(int gateway, moment until)
{
    auto const ended = deployment_.gateway(gateway).wait_for_end(0);
    if (!ended && now() < until)
        return after(look_ms, [this, gateway, until] { await_end(gateway, until); });
    if (!ended)
        record_.violations.push_back(gateway_name(gateway) + " outlasted its grace");
    else if (*ended != 0)
        record_.violations.push_back(
            gateway_name(gateway) + " stopped with " + std::to_string(*ended));
    deployment_.gateway(gateway).kill();
    restart(gateway);
}

void soak_deployment::place_one(harm_link const& f)
{
    auto const route = f.kind == link_kind::gateway_to_store ? deployment_.store_route(f.index)
                       : f.kind == link_kind::gateway_to_backend
                           ? deployment_.backend_route(f.index)
                           : deployment_.caller_route(f.index);
    json harm;
    json heal;
    switch (f.fault)
    {
    case link_fault::delayed:
        harm = {{"delay_ms", slow_ms}};
        heal = {{"delay_ms", 0}};
        break;
    case link_fault::reset:
        harm = {{"cut", true}};
        break;
    case link_fault::refused:
        harm = {{"cut", true}, {"refuse", true}};
        heal = {{"refuse", false}};
        break;
    case link_fault::silent:
        harm = {{"freeze", true}};
        heal = {{"freeze", false}};
        break;
    case link_fault::one_way:
        harm = {{"freeze_back", true}};
        heal = {{"freeze_back", false}};
        break;
    }
    disturb(f.for_ms);
    for_a_time(f.for_ms, harm, heal, [this, route](json const& b) { deployment_.harm(route, b); });
}

void soak_deployment::place_one(harm_store const& f)
{
    json harm;
    json heal;
    switch (f.fault)
    {
    case store_fault::down:
        harm = {{"down", true}};
        heal = {{"down", false}};
        break;
    case store_fault::slow:
        harm = {{"delay_ms", slow_ms}};
        heal = {{"delay_ms", 0}};
        break;
    case store_fault::answers_lost:
        harm = {{"lose_answers", 3}};
        heal = {{"lose_answers", 0}};
        break;
    case store_fault::history_dropped:
        harm = {{"drop_history", true}};
        break;
    }
    disturb(f.for_ms);
    for_a_time(
        f.for_ms, harm, heal,
        [this](json const& b) { gateway_deployment::control(deployment_.store(), b); });
}

void soak_deployment::place_one(harm_backend const& f)
{
    json harm;
    json heal;
    switch (f.fault)
    {
    case backend_fault::failing:
        harm = {{"status", 500}};
        heal = {{"status", 200}};
        break;
    case backend_fault::full:
        harm = {{"not_run", true}};
        heal = {{"not_run", false}};
        break;
    case backend_fault::cut:
        harm = {{"cut", true}};
        heal = {{"cut", false}};
        break;
    case backend_fault::torn:
        harm = {{"cut_after", 4}};
        heal = {{"cut_after", 0}};
        break;
    case backend_fault::slow:
        harm = {{"delay_ms", slow_ms}};
        heal = {{"delay_ms", 0}};
        break;
    }
    for_a_time(
        f.for_ms, harm, heal,
        [this, f](json const& b)
        { gateway_deployment::control(deployment_.backend(f.backend), b); });
}

void soak_deployment::place_one(drain_backend const& f)
{
    auto const others = std::count(draining_.begin(), draining_.end(), false);
    if (draining_[f.backend] || others < 2)
        return;
    draining_[f.backend] = true;
    deployment_.list_backend(f.backend, "draining", "v1", backend_lives_[f.backend]);
    auto const from = now();
    after(
        f.for_ms,
        [this, f, from]
        {
            record_.drained.push_back({f.backend, {from, now()}});
            deployment_.list_backend(f.backend, "ready", "v1", ++backend_lives_[f.backend]);
            draining_[f.backend] = false;
        });
}

void soak_deployment::place_one(change_key const&)
{
    auto const before = key();
    ++key_number_;
    configure();
    std::lock_guard lock(record_.mutex);
    record_.withdrawn.emplace(before, now());
}

void soak_deployment::place_one(add_route const&)
{
    auto const added = route_count_ + 1;
    route_count_ = added;
    configure();
    std::lock_guard lock(record_.mutex);
    record_.added_routes.push_back(now());
}

void soak_deployment::configure()
{
    deployment_.configure(
        [this](json& config)
        {
            config["tenants"] = organisations(key_number_);
            for (int i = 0; i < route_count_; ++i)
                config["routes"].push_back(
                    deployment_.route("added-" + std::to_string(i), "safe", 2));
        });
}

bool soak_deployment::recover(milliseconds limit)
{
    auto const until = now() + limit;
    for (int i = 0; i < size_.gateways; ++i)
    {
        auto const left = std::chrono::duration_cast<milliseconds>(until - now()).count();
        if (!tests::eventually([&] { return deployment_.ready(i); }, static_cast<int>(left)))
            return false;
    }
    return true;
}

void soak_deployment::collect()
{
    for (int i = 0; i < size_.backends; ++i)
    {
        auto const seen = tests::call(deployment_.backend(i).port(), "GET", "/runs").parsed();
        record_.runs.push_back(seen["runs"].get<std::map<std::string, int>>());
    }
    record_.duties = deployment_.duties();
}

} // namespace auburnweir::soak
