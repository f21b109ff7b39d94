#include "support/deployment.hpp"

#include "support/settings_template.hpp"

#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace auburnweir::review
{

namespace
{

constexpr std::chrono::seconds ready_timeout{30};
constexpr std::chrono::milliseconds poll_interval{50};
constexpr std::uint16_t front_port = 8221;
constexpr std::uint16_t ready_port = 8224;
constexpr std::uint16_t peer_port = 7615;

/// Programs of the build of the deploy file and of `review/build.sh`.
constexpr char const* gateway_program = "target/auburnweir-gateway";
constexpr char const* standin_folder = "build/review/auburnweir/tools/standins/";

std::int64_t wall_ms()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::string file_text(std::string const& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string engine_name(int index)
{
    return "i-" + std::to_string(index + 1);
}

json route(std::string const& name, std::string const& kind, int attempts, int timeout_ms)
{
    return {{"name", name},        {"host", "calls.example"}, {"prefix", "/" + name + "/"},
            {"routeType", kind},   {"timeoutMs", timeout_ms}, {"sloMs", 300},
            {"priority", 1},       {"service", "reservas"},   {"maxAttempts", attempts},
            {"anonymous", false},  {"sticky", false},         {"resumable", false},
            {"itlTargetMs", 400.0}};
}

} // namespace

record::record(std::string const& path)
    : file_(path, std::ios::trunc)
    , started_(std::chrono::steady_clock::now())
{
}

std::chrono::milliseconds record::elapsed() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - started_);
}

void record::line(std::string const& text)
{
    std::lock_guard lock(mutex_);
    file_ << std::setw(8) << std::fixed << std::setprecision(3)
          << std::chrono::duration<double>(elapsed()).count() << " s  " << text << std::endl;
}

deployment::deployment(deployment_plan plan, record& log)
    : plan_(plan)
    , log_(log)
{
    auto name = (std::filesystem::temp_directory_path() / "auburnweir-review-XXXXXX").string();
    folder_ = mkdtemp(name.data());
    std::random_device random;
    std::uniform_int_distribution<int> byte(1, 254);
    network_ = "127." + std::to_string(byte(random)) + "." + std::to_string(byte(random)) + ".";
    store_ = std::make_unique<tests::process>(
        std::vector<std::string>{std::string{standin_folder} + "standin-metadata-store"});
    for (int i = 0; i < plan_.engines; ++i)
        list_engine(start_engine());
    json const tenants = json::array(
        {{{"name", "tenant-1"},
          {"apiKeys", json::array({"key-1"})},
          {"ratePerS", 0},
          {"burst", 0},
          {"unit", "requests"}},
         {{"name", "tenant-2"},
          {"apiKeys", json::array({"key-2"})},
          {"ratePerS", 0},
          {"burst", 0},
          {"unit", "requests"}}});
    configuration_ = {
        {"version", 0},
        {"routes",
         json::array({route("stock-check", "safe", 2, 3000), route("deposit", "unsafe", 1, 3000)})},
        {"services",
         json::array({{{"name", "reservas"}, {"healthPath", "/healthz"}, {"maxConns", 110}}})},
        {"limits",
         {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 4194304},
          {"headerTimeoutMs", 5000},
          {"idleTimeoutMs", 30000}}},
        {"tenants", tenants}};
    ++version_;
    configuration_["version"] = version_;
    write_configuration();
    for (int i = 0; i < plan_.gateways; ++i)
    {
        gateways_.emplace_back();
        start_gateway(i);
    }
}

deployment::~deployment()
{
    gateways_.clear();
    engines_.clear();
    store_.reset();
    std::filesystem::remove_all(folder_);
}

std::string deployment::settings_of(int index) const
{
    auto const ip = network_ + std::to_string(index + 1);
    auto const store = "127.0.0.1:" + std::to_string(store_->port());
    return fill_in(
        file_text("deploy/gateway.ini"),
        {{"nodeName", "edge-santiago-a-" + std::to_string(index + 1)},
         {"zone", "santiago-a"},
         {"ip", ip},
         {"listen.front", ip + ":" + std::to_string(front_port)},
         {"listen.ready", ip + ":" + std::to_string(ready_port)},
         {"internalPorts.1", std::to_string(peer_port)},
         {"platform.address", store},
         {"cloud.address", store},
         {"limits.memoryMb", "260"},
         {"bounds.retryRatio", "0.2"},
         {"bounds.retrySlack", "58"},
         {"bounds.retryWindowS", "10"},
         {"bounds.revokeMs", "5000"},
         {"bounds.configApplyMs", "3000"},
         {"bounds.drainMs", "3000"},
         {"bounds.leaseMs", "3000"},
         {"bounds.usageWindowS", "5"},
         {"bounds.graceS", "8"}});
}

void deployment::start_gateway(int index)
{
    auto const path = folder_ + "/settings-" + std::to_string(index + 1) + ".ini";
    std::ofstream(path) << settings_of(index);
    gateways_.at(index) = std::make_unique<tests::process>(
        std::vector<std::string>{gateway_program, "--settings", path});
    gateways_.at(index)->append_output_to(
        folder_ + "/gateway-" + std::to_string(index + 1) + ".log");
    log_.line("gateway " + std::to_string(index + 1) + " is started");
}

void deployment::kill_gateway(int index)
{
    gateways_.at(index)->kill();
    log_.line("gateway " + std::to_string(index + 1) + " is killed");
}

int deployment::pid_of_gateway(int index) const
{
    return gateways_.at(index)->pid();
}

endpoint deployment::callers(int gateway) const
{
    return {network_ + std::to_string(gateway + 1), front_port};
}

bool deployment::is_ready(int gateway) const
{
    endpoint const ready{network_ + std::to_string(gateway + 1), ready_port};
    return call_once(ready, {"GET", "/api/readyz", {}, {}}, std::chrono::seconds{1}).status == 200;
}

bool deployment::wait_until_ready()
{
    auto const until = std::chrono::steady_clock::now() + ready_timeout;
    for (;;)
    {
        bool ready = !duty_calls().empty();
        for (int i = 0; i < plan_.gateways; ++i)
            ready = ready && is_ready(i);
        if (ready)
            return true;
        if (std::chrono::steady_clock::now() >= until)
            return false;
        std::this_thread::sleep_for(poll_interval);
    }
}

void deployment::write_configuration()
{
    json const row{{"table", "op"}, {"key", "config"}, {"value", configuration_.dump()}};
    control_store({{"put", json::array({row})}});
}

void deployment::start_engine_process(int index)
{
    auto& e = engines_.at(index);
    e.process = std::make_unique<tests::process>(std::vector<std::string>{
        std::string{standin_folder} + "standin-routed-backend", engine_name(index)});
    e.port = e.process->port();
    e.born_at_ms = wall_ms();
}

void deployment::add_route(std::string const& name, std::string const& kind, bool carries_prompt)
{
    auto added = route(name, kind, 1, 3000);
    added["sticky"] = carries_prompt;
    configuration_["routes"].push_back(std::move(added));
    configuration_["version"] = ++version_;
    write_configuration();
}

int deployment::start_engine()
{
    auto const index = engines();
    engines_.emplace_back();
    start_engine_process(index);
    return index;
}

void deployment::restart_engine(int index)
{
    start_engine_process(index);
}

void deployment::stop_engine(int index)
{
    engines_.at(index).process.reset();
}

bool deployment::engine_has_ended(int index)
{
    auto& e = engines_.at(index);
    return !e.process || e.process->pid() <= 0 || e.process->wait_for_exit(0).has_value();
}

bool deployment::control_engine(int index, json const& command) const
{
    endpoint const engine{"127.0.0.1", engines_.at(index).port};
    return call_once(engine, {"POST", "/control", {}, command.dump()}).status == 200;
}

json deployment::runs_of_engine(int index) const
{
    endpoint const engine{"127.0.0.1", engines_.at(index).port};
    auto const response = call_once(engine, {"GET", "/runs", {}, {}}, std::chrono::seconds{1});
    if (response.status != 200)
        return json::object();
    return json::parse(response.body, nullptr, false).value("runs", json::object());
}

void deployment::record_runs() const
{
    for (int i = 0; i < engines(); ++i)
        if (engines_.at(i).process)
            log_.line(
                "engine " + std::to_string(i + 1) + " has run " +
                std::to_string(runs_of_engine(i).size()) + " requests since its last start");
}

void deployment::list_engine(int index, listing state)
{
    auto const& e = engines_.at(index);
    json const entry{
        {"service", "reservas"},       {"address", "127.0.0.1:" + std::to_string(e.port)},
        {"zone", "santiago-a"},        {"version", "v1"},
        {"slots", plan_.engine_slots}, {"state", state == listing::ready ? "ready" : "draining"},
        {"coldRemainingMs", 0},        {"sequence", 1},
        {"born", e.born_at_ms}};
    json const row{{"table", "servers"}, {"key", engine_name(index)}, {"value", entry.dump()}};
    control_store({{"put", json::array({row})}});
}

void deployment::remove_engine(int index)
{
    json const row{{"table", "servers"}, {"key", engine_name(index)}};
    control_store({{"remove", json::array({row})}});
}

bool deployment::control_store(json const& command) const
{
    endpoint const store{"127.0.0.1", store_->port()};
    return call_once(store, {"POST", "/control", {}, command.dump()}).status == 200;
}

json deployment::duty_calls() const
{
    endpoint const store{"127.0.0.1", store_->port()};
    auto const response = call_once(store, {"GET", "/duties", {}, {}});
    return json::parse(response.body, nullptr, false);
}

int run_case(int argc, char** argv, std::function<int(case_options const&)> const& run)
{
    case_options options;
    options.folder = argc > 1 ? argv[1] : ".";
    auto const* trouble = std::getenv("TROUBLE");
    options.trouble = !trouble || std::string{trouble} != "0";
    try
    {
        auto const result = run(options);
        std::cout << (result == exit_broken ? "broken"
                      : result == exit_held ? "held"
                                            : "not run")
                  << "\n";
        return result;
    }
    catch (std::exception const& error)
    {
        std::cerr << error.what() << "\n";
        return exit_not_run;
    }
}

} // namespace auburnweir::review
