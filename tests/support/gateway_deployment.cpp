#include "support/gateway_deployment.hpp"

#include "support/deployment.hpp"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <numeric>
#include <set>
#include <thread>

namespace auburnweir::tests
{

namespace
{

char const* word_of(gateway_deployment::cut_kind kind)
{
    using cut_kind = gateway_deployment::cut_kind;
    switch (kind)
    {
    case cut_kind::refused:
        return "refuse";
    case cut_kind::dropped:
        return "drop";
    case cut_kind::hanging:
        break;
    }
    return "hang";
}

std::string backend_name(int index)
{
    return "backend-" + std::to_string(index + 1);
}

} // namespace

std::vector<std::string> builds_in(std::string const& folder)
{
    std::vector<std::string> folders;
    for (auto const& entry : std::filesystem::directory_iterator(folder))
        folders.push_back(entry.path().string());
    std::ranges::sort(folders);
    return folders;
}

gateway_deployment::gateway_deployment(gateway_deployment_plan plan)
    : plan_(std::move(plan))
{
    auto name = (std::filesystem::temp_directory_path() / "auburnweir-XXXXXX").string();
    folder_ = mkdtemp(name.data());
    store_ = std::make_unique<process>(std::vector{program_path("standin-metadata-store")});
    if (plan_.proxied)
        proxy_ = std::make_unique<process>(std::vector{program_path("standin-proxy")});
    for (int i = 0; i < plan_.backends; ++i)
    {
        backends_.push_back(std::make_unique<process>(
            std::vector{program_path("standin-routed-backend"), backend_name(i)}));
        auto const port = backend(i).port();
        backend_proxy_ports_.push_back(plan_.direct_backends ? port : proxied_port(port));
        list_backend(i);
    }
    configure();
    for (int i = 0; i < plan_.gateways; ++i)
        start_gateway(i);
    wait_until_ready();
}

gateway_deployment::~gateway_deployment()
{
    gateways_.clear();
    print_logs_after_failure(log_folder());
    std::filesystem::remove_all(folder_);
}

std::string const& gateway_deployment::log_folder() const
{
    return plan_.log_folder.empty() ? folder_ : plan_.log_folder;
}

json gateway_deployment::route(
    std::string const& name, std::string const& kind, int attempts,
    std::string const& service) const
{
    return {
        {"name", name},
        {"host", "calls.test"},
        {"prefix", "/" + name + "/"},
        {"routeType", kind},
        {"timeoutMs", plan_.route_timeout_ms},
        {"sloMs", 500},
        {"priority", 1},
        {"service", service},
        {"maxAttempts", attempts},
        {"anonymous", false},
        {"sticky", false},
        {"resumable", name == "stream"},
        {"itlTargetMs", 400}};
}

std::string gateway_deployment::domain(int index) const
{
    return "domain-" + std::to_string(index % plan_.failure_domains + 1);
}

void gateway_deployment::start_gateway(int index)
{
    bool const is_first_start = static_cast<std::size_t>(index) >= gateways_.size();
    if (is_first_start)
        store_proxy_ports_.push_back(proxied_port(store_->port()));
    auto const store = "127.0.0.1:" + std::to_string(store_proxy_ports_[index]);
    std::map<std::string, std::string> settings{
        {"id", "gateway-" + std::to_string(index + 1)},
        {"failure_domain", domain(index)},
        {"peer_key", "a-key-that-only-tests-use"},
        {"store", store},
        {"fleet", store},
        {"log_level", plan_.log_folder.empty() ? "warning" : "info"}};
    for (auto const& [key, value] : plan_.settings)
        settings[key] = value;
    auto const path = folder_ + "/gateway-" + std::to_string(index) + ".ini";
    std::ofstream text(path);
    text << "[gateway]\n";
    for (auto const& [key, value] : settings)
        text << key << " = " << value << "\n";
    text.close();
    std::vector<std::string> command;
    if (plan_.may_be_cut)
        command = {
            "/usr/bin/env", "LD_PRELOAD=" + program_path("tests/liblink_cut.so"),
            "AUBURNWEIR_LINK_CUT=" + cut_file(index),
            // The sanitizer's runtime is not the first library then.
            "ASAN_OPTIONS=verify_asan_link_order=0"};
    for (auto const& word :
         {gateway_program(index), std::string{"--settings"}, path, std::string{"--seed"},
          std::to_string(index + 1)})
        command.push_back(word);
    auto new_process = std::make_unique<process>(std::move(command));
    new_process->append_output_to(log_folder() + "/gateway-" + std::to_string(index + 1) + ".log");
    auto const callers = new_process->port("callers");
    if (is_first_start)
    {
        gateways_.push_back(std::move(new_process));
        caller_proxy_ports_.push_back(proxied_port(callers));
        return;
    }
    gateways_[index] = std::move(new_process);
    if (proxy_)
        set_proxy_faults(
            caller_proxy_ports_[index], {{"target", "127.0.0.1:" + std::to_string(callers)}});
    else
        caller_proxy_ports_[index] = callers;
}

void gateway_deployment::set_gateway_build(int index, std::string folder)
{
    auto& builds = plan_.gateway_builds;
    builds.resize(std::max(builds.size(), static_cast<std::size_t>(index) + 1));
    builds[index] = std::move(folder);
}

std::string gateway_deployment::gateway_program(int index) const
{
    auto const& builds = plan_.gateway_builds;
    bool const is_own = static_cast<std::size_t>(index) >= builds.size() || builds[index].empty();
    return is_own ? program_path("auburnweir-gateway") : builds[index] + "/auburnweir-gateway";
}

std::string gateway_deployment::cut_file(int gateway) const
{
    return folder_ + "/cut-" + std::to_string(gateway);
}

void gateway_deployment::cut_off(int gateway, cut_kind kind)
{
    std::vector<int> all(backends_.size());
    std::iota(all.begin(), all.end(), 0);
    cut_off(gateway, kind, all);
}

void gateway_deployment::cut_off(int gateway, cut_kind kind, std::vector<int> const& backends)
{
    auto const new_file = cut_file(gateway) + ".new";
    std::ofstream text(new_file);
    for (auto const index : backends)
        text << word_of(kind) << ' ' << backend_proxy_ports_.at(index) << "\n";
    text.close();
    std::filesystem::rename(new_file, cut_file(gateway));
    bool const resets = proxy_ && !plan_.direct_backends && kind == cut_kind::refused;
    if (!resets)
        return;
    for (auto const index : backends)
        set_proxy_faults(backend_proxy_ports_.at(index), {{"cut", true}});
}

void gateway_deployment::heal(int gateway)
{
    std::filesystem::remove(cut_file(gateway));
}

std::uint16_t gateway_deployment::port(int index) const
{
    return caller_proxy_ports_.at(index);
}

std::uint16_t gateway_deployment::proxied_port(std::uint16_t port)
{
    if (!proxy_)
        return port;
    json const body{{"target", "127.0.0.1:" + std::to_string(port)}};
    return call(proxy_->port(), "POST", "/routes", {}, body.dump()).parsed().value("port", 0);
}

void gateway_deployment::set_proxy_faults(std::uint16_t proxy_port, json faults)
{
    faults["port"] = proxy_port;
    call(proxy_->port(), "POST", "/faults", {}, faults.dump());
}

bool gateway_deployment::ready(int index)
{
    return call(gateway(index).port("ready"), "GET", "/readyz").status == 200;
}

void gateway_deployment::wait_until_ready()
{
    auto const is_settled = [this](int index)
    {
        auto const status = call(gateway(index).port("metrics"), "GET", "/status").parsed();
        return ready(index) && !status.value("duties_held_by", std::string{}).empty();
    };
    for (int i = 0; i < static_cast<int>(gateways_.size()); ++i)
        eventually([&] { return is_settled(i); });
    // Gateways receive their local shares of the limits with the first report after the
    // holder is known.
    std::this_thread::sleep_for(std::chrono::milliseconds{700});
}

received_response gateway_deployment::send_request(
    std::string const& path, std::string const& id, header_list headers, int gateway)
{
    headers.emplace_back("Host", "calls.test");
    headers.emplace_back("Auburnweir-Attempt-Id", id);
    if (std::none_of(
            headers.begin(), headers.end(),
            [](auto const& h) { return h.first == "Auburnweir-Deadline-Ms"; }))
        headers.emplace_back("Auburnweir-Deadline-Ms", "3000");
    return call(port(gateway), "POST", path, std::move(headers), "order");
}

void gateway_deployment::control(process& standin, json const& body)
{
    call(standin.port(), "POST", "/control", {}, body.dump());
}

std::int64_t gateway_deployment::run_count(std::string const& id)
{
    std::int64_t sum = 0;
    for (auto& b : backends_)
        if (b->pid() > 0)
            sum += call(b->port(), "GET", "/runs").parsed()["runs"].value(id, 0);
    return sum;
}

json gateway_deployment::last_request(int index)
{
    return call(backend(index).port(), "GET", "/runs").parsed()["last"];
}

void gateway_deployment::configure(std::function<void(json&)> const& change)
{
    auto flow = route("flow/stream", "streaming", 1);
    json config{
        {"version", ++version_},
        {"routes", json::array(
                       {route("safe", "safe", 2), route("once", "unsafe", 1),
                        route("stream", "streaming", 2), flow})},
        {"services", json::array()},
        {"limits",
         {{"maxHeaderBytes", 4096},
          {"maxBodyBytes", 65536},
          {"headerTimeoutMs", 1000},
          {"idleTimeoutMs", 5000}}}};
    std::set<std::string> services{"desk"};
    services.insert(plan_.backend_services.begin(), plan_.backend_services.end());
    for (auto const& service : services)
        config["services"].push_back(
            {{"name", service}, {"healthPath", "/healthz"}, {"maxConns", 100}});
    if (!plan_.organisations.empty())
        config["tenants"] = plan_.organisations;
    if (change)
        change(config);
    configuration_ = std::move(config);
    rewrite_configuration();
}

void gateway_deployment::rewrite_configuration()
{
    write_operator_row("config", configuration_);
}

void gateway_deployment::write_operator_row(std::string const& key, json const& value)
{
    json const row{{"table", "op"}, {"key", key}, {"value", value.dump()}};
    control(*store_, {{"put", json::array({row})}});
}

void gateway_deployment::remove_operator_row(std::string const& key)
{
    json const row{{"table", "op"}, {"key", key}};
    control(*store_, {{"remove", json::array({row})}});
}

void gateway_deployment::copy_store()
{
    control(*store_, {{"copy", true}});
}

void gateway_deployment::restore_store()
{
    control(*store_, {{"down", true}});
    std::this_thread::sleep_for(std::chrono::milliseconds{300});
    control(*store_, {{"restore", true}, {"down", false}});
}

void gateway_deployment::list_backend(
    int index, std::string const& server_state, std::string const& version,
    std::int64_t incarnation)
{
    write_backend_row(
        backend_name(index), index,
        {{"state", server_state}, {"version", version}, {"born", incarnation}});
}

std::string gateway_deployment::service_of_backend(int index) const
{
    auto const& services = plan_.backend_services;
    return static_cast<std::size_t>(index) < services.size() ? services[index] : "desk";
}

void gateway_deployment::write_backend_row(std::string const& key, int index, json const& changes)
{
    json entry{
        {"service", service_of_backend(index)},
        {"address", "127.0.0.1:" + std::to_string(backend_proxy_ports_.at(index))},
        {"zone", domain(index)},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"coldRemainingMs", 0},
        {"sequence", 1},
        {"born", 1000}};
    entry.update(changes);
    json const row{{"table", "servers"}, {"key", key}, {"value", entry.dump()}};
    control(*store_, {{"put", json::array({row})}});
}

void gateway_deployment::replace_backend(int index, std::string const& name)
{
    backend(index).kill();
    backends_.at(index) =
        std::make_unique<process>(std::vector{program_path("standin-routed-backend"), name});
    set_proxy_faults(
        backend_proxy_ports_.at(index),
        {{"target", "127.0.0.1:" + std::to_string(backend(index).port())}});
}

void gateway_deployment::start_backend(int index, std::string const& name, std::int64_t born)
{
    auto const port = backend(index).port();
    backends_.at(index) = std::make_unique<process>(std::vector{
        program_path("standin-routed-backend"), name, born > 0 ? std::to_string(born) : "",
        std::to_string(port)});
}

void gateway_deployment::remove_backend(int index)
{
    json const row{{"table", "servers"}, {"key", backend_name(index)}};
    control(*store_, {{"remove", json::array({row})}});
}

json gateway_deployment::duties()
{
    return call(store_->port(), "GET", "/duties").parsed();
}

double gateway_deployment::counter(int index, std::string const& name)
{
    return metric(call(gateway(index).port("metrics"), "GET", "/metrics").body, name);
}

} // namespace auburnweir::tests
