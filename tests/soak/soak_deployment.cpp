#include "soak/soak_deployment.hpp"

#include "support/deployment.hpp"
#include "transport/clock.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace auburnweir::soak
{

namespace
{

using tests::gateway_deployment;
using tests::json;
using transport::now;

/// Time after which a stopping gateway is killed.
constexpr int stop_grace_ms = 8000;

constexpr int exit_poll_interval_ms = 100;
constexpr int memory_limit_megabytes = 64;

constexpr std::size_t endless_part_bytes = 4096;

/// Start of the copy of a refusal that a backend sends ahead of its responses.
constexpr std::string_view copied_refusal = "HTTP/1.1 503 Busy\r\nAuburnweir-Not-Executed: 1\r\n";
constexpr int trickle_pause_ms = 50;

constexpr int injected_delay_ms = 600;
constexpr std::int64_t first_incarnation = 1000; ///< of each backend
constexpr auto schedule_poll_interval = milliseconds{10};

/// Time after the start of a gateway that counts as disrupted.
constexpr int restart_disruption_ms = 3000;

json organisation(std::string const& name, std::string const& key, double rate)
{
    return {{"name", name}, {"apiKeys", json::array({key})}, {"ratePerS", rate}, {"burst", rate}};
}

std::string rotating_key(int number)
{
    return "turning-" + std::to_string(number);
}

json organisations(int key_number)
{
    return json::array(
        {organisation("limited", "limited", limited_rate_per_second),
         organisation("turning", rotating_key(key_number), 0)});
}

/// Number of a gateway's first start.
constexpr int first_start = 1;

/// Build that a gateway runs after a start, so that each start is an upgrade or a roll back.
std::string build_of(soak_size const& size, int gateway, int start)
{
    auto const& builds = size.gateway_builds;
    if (builds.empty())
        return {};
    return builds[static_cast<std::size_t>(gateway + start) % builds.size()];
}

tests::gateway_deployment_plan deployment_plan(
    soak_size const& size, backend_plan const& backends, std::string const& logs)
{
    tests::gateway_deployment_plan plan;
    plan.gateways = size.gateways;
    plan.backends = size.backends;
    plan.failure_domains = 2;
    plan.proxied = true;
    plan.direct_backends = backends.direct;
    plan.may_be_cut = true;
    plan.log_folder = logs;
    for (int i = 0; i < size.gateways; ++i)
        plan.gateway_builds.push_back(build_of(size, i, first_start));
    plan.organisations = organisations(1);
    plan.settings = {
        {"usage_window_s", "1"},
        {"repeat_slack", "500"},
        {"memory_limit_mb", std::to_string(memory_limit_megabytes)}};
    return plan;
}

std::string gateway_name(int index)
{
    return "gateway-" + std::to_string(index + 1);
}

std::string backend_name(int index)
{
    return "backend-" + std::to_string(index + 1);
}

} // namespace

soak_deployment::soak_deployment(
    soak_size const& size, backend_plan backends, std::string const& logs, soak_record& record)
    : size_(size)
    , backend_plan_(std::move(backends))
    , record_(record)
    , deployment_(deployment_plan(size, backend_plan_, logs))
    , incarnations_(size.gateways)
    , unavailable_(size.gateways, false)
    , draining_(size.backends, false)
    , ended_(size.backends, false)
    , paused_(size.backends, false)
    , backend_incarnations_(size.backends, first_incarnation)
{
    for (auto& number : incarnations_)
        number = first_start;
    for (int i = 0; i < size.backends; ++i)
        set_behaviour(i);
}

std::string soak_deployment::current_key() const
{
    return rotating_key(key_number_);
}

void soak_deployment::run(std::vector<planned_fault> const& plan)
{
    auto const started_at = now();
    for (auto const& planned : plan)
    {
        run_scheduled_actions(started_at + milliseconds{planned.at_ms});
        inject(planned.fault);
    }
    run_scheduled_actions(started_at + milliseconds{size_.fault_phase_ms});
    while (!scheduled_actions_.empty())
        run_scheduled_actions(now() + schedule_poll_interval);
}

void soak_deployment::set_temporarily(
    int duration_ms, json const& faults, json const& no_faults,
    std::function<void(json const&)> const& set)
{
    set(faults);
    if (!no_faults.is_null())
        schedule_after(duration_ms, [set, no_faults] { set(no_faults); });
}

void soak_deployment::run_scheduled_actions(time_point until)
{
    while (now() < until)
    {
        restart_exited_gateways();
        // An action may schedule another one, so each search starts anew.
        auto const due = std::find_if(
            scheduled_actions_.begin(), scheduled_actions_.end(),
            [](scheduled_action const& a) { return a.at <= now(); });
        if (due == scheduled_actions_.end())
        {
            std::this_thread::sleep_for(schedule_poll_interval);
            continue;
        }
        auto const delay = std::chrono::duration_cast<milliseconds>(now() - due->at);
        record_.max_delay = std::max(record_.max_delay, delay);
        auto const callback = std::move(due->callback);
        scheduled_actions_.erase(due);
        callback();
    }
}

void soak_deployment::schedule_after(int delay_ms, std::function<void()> callback)
{
    scheduled_actions_.push_back({now() + milliseconds{delay_ms}, std::move(callback)});
}

void soak_deployment::record_disruption(int duration_ms)
{
    std::lock_guard lock(record_.mutex);
    record_.disruptions.push_back({now(), now() + milliseconds{duration_ms}});
}

void soak_deployment::restart_exited_gateways()
{
    for (int i = 0; i < size_.gateways; ++i)
    {
        if (unavailable_[i])
            continue;
        auto const exit_code = deployment_.gateway(i).wait_for_exit(0);
        if (!exit_code)
        {
            check_memory(i);
            continue;
        }
        record_.violations.push_back(
            gateway_name(i) + " exited unexpectedly with " + std::to_string(*exit_code));
        restart(i);
    }
}

void soak_deployment::check_memory(int gateway)
{
    if (!deployment_.gateway(gateway).is_within_megabytes(memory_limit_megabytes))
        record_.violations.push_back(gateway_name(gateway) + " uses more memory than its limit");
}

void soak_deployment::restart(int gateway)
{
    ++incarnations_[gateway];
    deployment_.set_gateway_build(gateway, build_of(size_, gateway, incarnations_[gateway]));
    deployment_.start_gateway(gateway);
    unavailable_[gateway] = false;
    record_disruption(restart_disruption_ms);
}

void soak_deployment::inject(soak_fault const& fault)
{
    std::visit([this](auto const& f) { perform(f); }, fault);
}

void soak_deployment::perform(kill_gateway const& f)
{
    if (unavailable_[f.gateway])
        return;
    unavailable_[f.gateway] = true;
    record_disruption(f.down_ms);
    deployment_.gateway(f.gateway).kill();
    schedule_after(f.down_ms, [this, f] { restart(f.gateway); });
}

void soak_deployment::perform(pause_gateway const& f)
{
    if (unavailable_[f.gateway])
        return;
    unavailable_[f.gateway] = true;
    record_disruption(f.duration_ms);
    deployment_.gateway(f.gateway).signal(SIGSTOP);
    schedule_after(
        f.duration_ms,
        [this, f]
        {
            deployment_.gateway(f.gateway).signal(SIGCONT);
            record_.resumed_at[gateway_name(f.gateway)].push_back(now());
            unavailable_[f.gateway] = false;
        });
}

void soak_deployment::perform(stop_gateway const& f)
{
    if (unavailable_[f.gateway])
        return;
    unavailable_[f.gateway] = true;
    record_disruption(stop_grace_ms);
    deployment_.gateway(f.gateway).signal(SIGTERM);
    poll_stopping_gateway(f.gateway, now() + milliseconds{stop_grace_ms});
}

void soak_deployment::poll_stopping_gateway(int gateway, time_point deadline)
{
    auto const exit_code = deployment_.gateway(gateway).wait_for_exit(0);
    if (!exit_code && now() < deadline)
        return schedule_after(
            exit_poll_interval_ms,
            [this, gateway, deadline] { poll_stopping_gateway(gateway, deadline); });
    if (!exit_code)
        record_.violations.push_back(
            gateway_name(gateway) + " did not exit within its grace period");
    else if (*exit_code != 0)
        record_.violations.push_back(
            gateway_name(gateway) + " exited after SIGTERM with " + std::to_string(*exit_code));
    deployment_.gateway(gateway).kill();
    restart(gateway);
}

void soak_deployment::perform(cut_gateway const& f)
{
    using cut_kind = gateway_deployment::cut_kind;
    record_disruption(f.duration_ms);
    deployment_.cut_off(f.gateway, f.drops ? cut_kind::dropped : cut_kind::refused);
    schedule_after(f.duration_ms, [this, f] { deployment_.heal(f.gateway); });
}

void soak_deployment::perform(disrupt_link const& f)
{
    auto const route = f.kind == link_kind::gateway_to_store ? deployment_.store_proxy_port(f.index)
                       : f.kind == link_kind::gateway_to_backend
                           ? deployment_.backend_proxy_port(f.index)
                           : deployment_.caller_proxy_port(f.index);
    json faults;
    json no_faults;
    switch (f.fault)
    {
    case link_fault::delayed:
        faults = {{"delay_ms", injected_delay_ms}};
        no_faults = {{"delay_ms", 0}};
        break;
    case link_fault::reset:
        faults = {{"cut", true}};
        break;
    case link_fault::refused:
        faults = {{"cut", true}, {"refuse", true}};
        no_faults = {{"refuse", false}};
        break;
    case link_fault::silent:
        faults = {{"freeze", true}};
        no_faults = {{"freeze", false}};
        break;
    case link_fault::one_way:
        faults = {{"freeze_back", true}};
        no_faults = {{"freeze_back", false}};
        break;
    }
    record_disruption(f.duration_ms);
    set_temporarily(
        f.duration_ms, faults, no_faults,
        [this, route](json const& body) { deployment_.set_proxy_faults(route, body); });
}

void soak_deployment::perform(disrupt_store const& f)
{
    json faults;
    json no_faults;
    switch (f.fault)
    {
    case store_fault::down:
        faults = {{"down", true}};
        no_faults = {{"down", false}};
        break;
    case store_fault::slow:
        faults = {{"delay_ms", injected_delay_ms}};
        no_faults = {{"delay_ms", 0}};
        break;
    case store_fault::answers_lost:
        faults = {{"lose_answers", 3}};
        no_faults = {{"lose_answers", 0}};
        break;
    case store_fault::history_dropped:
        faults = {{"drop_history", true}};
        break;
    }
    record_disruption(f.duration_ms);
    set_temporarily(
        f.duration_ms, faults, no_faults,
        [this](json const& body) { gateway_deployment::control(deployment_.store(), body); });
}

void soak_deployment::perform(restore_store const& f)
{
    deployment_.copy_store();
    record_disruption(f.lost_ms);
    schedule_after(
        f.lost_ms,
        [this]
        {
            gateway_deployment::control(deployment_.store(), {{"restore", true}});
            deployment_.rewrite_configuration();
            for (int i = 0; i < size_.backends; ++i)
                list_backend(i);
        });
}

void soak_deployment::perform(disrupt_backend const& f)
{
    if (ended_[f.backend] || paused_[f.backend])
        return;
    json faults;
    json no_faults;
    switch (f.fault)
    {
    case backend_fault::failing:
        faults = {{"status", 500}};
        no_faults = {{"status", 200}};
        break;
    case backend_fault::full:
        faults = {{"not_run", true}};
        no_faults = {{"not_run", false}};
        break;
    case backend_fault::cut:
        faults = {{"cut", true}};
        no_faults = {{"cut", false}};
        break;
    case backend_fault::torn:
        faults = {{"cut_after", 4}};
        no_faults = {{"cut_after", 0}};
        break;
    case backend_fault::slow:
        faults = {{"delay_ms", injected_delay_ms}};
        no_faults = {{"delay_ms", 0}};
        break;
    case backend_fault::endless:
        faults = {{"endless", std::string(endless_part_bytes, 'x')}, {"endless_pause_ms", 0}};
        no_faults = {{"endless", ""}};
        break;
    case backend_fault::trickling:
        faults = {{"endless", "x"}, {"endless_pause_ms", trickle_pause_ms}};
        no_faults = {{"endless", ""}};
        break;
    case backend_fault::full_endless:
        faults = {{"not_run", true}, {"endless", "x"}, {"endless_pause_ms", trickle_pause_ms}};
        no_faults = {{"not_run", false}, {"endless", ""}};
        break;
    case backend_fault::unnamed_copies:
        faults = {{"late_response", std::string{copied_refusal} + "Content-Length: 0\r\n\r\n"}};
        no_faults = {{"late_response", ""}};
        break;
    case backend_fault::named_copies:
        faults = {
            {"late_response", std::string{copied_refusal} + "Auburnweir-Attempt-Id: {id}\r\n" +
                                  "Content-Length: 0\r\n\r\n"}};
        no_faults = {{"late_response", ""}};
        break;
    case backend_fault::cut_copies:
        faults = {{"late_response", std::string{copied_refusal} + "Auburnweir-Instance-Load: 1,"}};
        no_faults = {{"late_response", ""}};
        break;
    }
    set_temporarily(
        f.duration_ms, faults, no_faults,
        [this, f](json const& body) { set_backend_faults(f.backend, body); });
}

void soak_deployment::set_backend_faults(int index, json const& faults)
{
    if (paused_[index])
        schedule_after(
            exit_poll_interval_ms, [this, index, faults] { set_backend_faults(index, faults); });
    else if (!ended_[index])
        gateway_deployment::control(deployment_.backend(index), faults);
}

void soak_deployment::perform(kill_backend const& f)
{
    end_backend(f.backend, SIGKILL, f.after);
}

void soak_deployment::perform(stop_backend const& f)
{
    end_backend(f.backend, SIGTERM, f.after);
}

void soak_deployment::perform(pause_backend const& f)
{
    if (ended_[f.backend] || paused_[f.backend])
        return;
    paused_[f.backend] = true;
    deployment_.backend(f.backend).signal(SIGSTOP);
    schedule_after(
        f.duration_ms,
        [this, f]
        {
            deployment_.backend(f.backend).signal(SIGCONT);
            paused_[f.backend] = false;
        });
}

void soak_deployment::perform(kill_all_backends const& f)
{
    for (int i = 0; i < size_.backends; ++i)
        if (!ended_[i])
            deployment_.backend(i).signal(SIGKILL);
    for (int i = 0; i < size_.backends; ++i)
        end_backend(i, SIGKILL, f.after);
}

void soak_deployment::end_backend(int index, int signal, backend_return const& after)
{
    constexpr int max_stop_ms = 1000;
    bool const ignores_signal = paused_[index] && signal != SIGKILL;
    if (ended_[index] || ignores_signal)
        return;
    ended_[index] = true;
    auto& process = deployment_.backend(index);
    process.signal(signal);
    process.wait_for_exit(max_stop_ms);
    process.kill();
    if (after.successor == backend_successor::other_id)
        start_backend(index, "other-" + std::to_string(index + 1));
    if (after.successor == backend_successor::same_id)
        schedule_after(
            after.same_id_after_ms, [this, index] { start_backend(index, backend_name(index)); });
    schedule_after(
        after.listed_after_ms, [this, index, after] { return_backend(index, after.successor); });
}

bool soak_deployment::start_backend(int index, std::string const& id)
{
    try
    {
        deployment_.start_backend(index, id, backend_incarnations_[index] + 1);
    }
    catch (std::runtime_error const&)
    {
        return false;
    }
    set_behaviour(index);
    return true;
}

void soak_deployment::return_backend(int index, backend_successor successor, int tries_left)
{
    auto& process = deployment_.backend(index);
    if (successor != backend_successor::same_id)
        process.kill();
    if (process.pid() < 0 && !start_backend(index, backend_name(index)))
    {
        if (tries_left == 0)
            throw std::runtime_error("the port of " + backend_name(index) + " is in use");
        schedule_after(
            exit_poll_interval_ms, [this, index, successor, tries_left]
            { return_backend(index, successor, tries_left - 1); });
        return;
    }
    ++backend_incarnations_[index];
    list_backend(index);
    ended_[index] = false;
}

void soak_deployment::list_backend(int index)
{
    deployment_.list_backend(
        index, draining_[index] ? "draining" : "ready", "v1", backend_incarnations_[index]);
}

void soak_deployment::set_behaviour(int index)
{
    auto const& behaviour = backend_plan_.behaviours.at(index);
    gateway_deployment::control(
        deployment_.backend(index), {{"framing", name_of(behaviour.framing)},
                                     {"event_ms", behaviour.event_ms},
                                     {"run_log", run_log(index)}});
}

std::string soak_deployment::run_log(int backend) const
{
    return run_logs_.path() + "/runs-" + std::to_string(backend);
}

void soak_deployment::perform(drain_backend const& f)
{
    auto const listed_as_ready = std::count(draining_.begin(), draining_.end(), false);
    if (draining_[f.backend] || listed_as_ready < 2)
        return;
    draining_[f.backend] = true;
    deployment_.list_backend(f.backend, "draining", "v1", backend_incarnations_[f.backend]);
    auto const from = now();
    schedule_after(
        f.duration_ms,
        [this, f, from]
        {
            record_.drains.push_back({f.backend, {from, now()}});
            deployment_.list_backend(f.backend, "ready", "v1", ++backend_incarnations_[f.backend]);
            draining_[f.backend] = false;
        });
}

void soak_deployment::perform(change_key const&)
{
    auto const revoked = current_key();
    ++key_number_;
    write_current_configuration();
    std::lock_guard lock(record_.mutex);
    record_.revoked_keys.emplace(revoked, now());
}

void soak_deployment::perform(add_route const&)
{
    auto const added = added_route_count_ + 1;
    added_route_count_ = added;
    write_current_configuration();
    std::lock_guard lock(record_.mutex);
    record_.route_added_at.push_back(now());
}

void soak_deployment::write_current_configuration()
{
    deployment_.configure(
        [this](json& config)
        {
            config["tenants"] = organisations(key_number_);
            for (int i = 0; i < added_route_count_; ++i)
                config["routes"].push_back(
                    deployment_.route("added-" + std::to_string(i), "safe", 2));
        });
}

bool soak_deployment::wait_for_recovery(milliseconds timeout)
{
    auto const deadline = now() + timeout;
    for (int i = 0; i < size_.gateways; ++i)
    {
        auto const time_left_ms =
            std::chrono::duration_cast<milliseconds>(deadline - now()).count();
        if (!tests::eventually(
                [&] { return deployment_.ready(i); }, static_cast<int>(time_left_ms)))
            return false;
    }
    return true;
}

void soak_deployment::collect_observations()
{
    // Servers record each run in a file before it begins, so that the runs of killed processes
    // count as well. Not seen is a request that a process had received, but not begun to run.
    for (int i = 0; i < size_.backends; ++i)
    {
        auto& counts = record_.run_counts.emplace_back();
        std::ifstream log(run_log(i));
        for (std::string id; std::getline(log, id);)
            ++counts[id];
    }
    record_.duty_calls = deployment_.duties();
}

} // namespace auburnweir::soak
