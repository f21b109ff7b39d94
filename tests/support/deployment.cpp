#include "support/deployment.hpp"

#include "protocol/digest.hpp"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

namespace auburnweir::tests
{

namespace
{

constexpr char const* bearer_token = "test-token";
constexpr int poll_interval_ms = 20;

std::string create_temporary_folder()
{
    auto pattern = (std::filesystem::temp_directory_path() / "auburnweir-XXXXXX").string();
    return mkdtemp(pattern.data());
}

std::string numbered_name(std::string const& kind, int index)
{
    return kind + "-" + std::to_string(index + 1);
}

} // namespace

bool eventually(std::function<bool()> const& condition, int milliseconds)
{
    auto const deadline =
        std::chrono::steady_clock::now() + std::chrono::milliseconds{milliseconds};
    while (!condition())
    {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds{poll_interval_ms});
    }
    return true;
}

header_list with_bearer_token(header_list headers)
{
    headers.emplace_back("Authorization", std::string{"Bearer "} + bearer_token);
    return headers;
}

std::string chat_body(std::string const& content, int max_tokens, bool stream)
{
    json const message{{"role", "user"}, {"content", content}};
    return json{
        {"model", "assistant"},
        {"max_tokens", max_tokens},
        {"stream", stream},
        {"messages", json::array({message})}}
        .dump();
}

std::string expected_answer(std::string const& content, int max_tokens)
{
    return standins::answer_text("user\n" + content + "\n", static_cast<std::uint64_t>(max_tokens));
}

std::string program_path(std::string const& name)
{
    bool const standin = name.rfind("standin-", 0) == 0;
    return std::string{AUBURNWEIR_BUILD} + (standin ? "/tools/standins/" : "/") + name;
}

deployment::deployment(deployment_plan plan)
    : plan_(std::move(plan))
    , folder_(create_temporary_folder())
{
    platform_ = std::make_unique<process>(std::vector{program_path("standin-platform")});
    proxy_ = std::make_unique<process>(std::vector{program_path("standin-proxy")});
    platform_port_ = proxied_port(plan_.proxied_platform, platform_->port(), platform_proxy_port_);
    for (int i = 0; i < plan_.engines; ++i)
    {
        engines_.push_back(std::make_unique<process>(std::vector{
            program_path("standin-engine"), std::string{"--token-us"},
            std::to_string(plan_.token_us), std::string{"--slots"},
            std::to_string(plan_.engine_slots)}));
        engine_proxy_ports_.push_back(0);
        engine_ports_.push_back(proxied_port(
            plan_.proxied_engines, engines_.back()->port(), engine_proxy_ports_.back()));
    }
    for (int i = 0; i < plan_.services; ++i)
    {
        services_.push_back(
            std::make_unique<process>(std::vector{program_path("standin-service")}));
        service_proxy_ports_.push_back(0);
        service_ports_.push_back(proxied_port(
            plan_.proxied_services, services_.back()->port(), service_proxy_ports_.back()));
    }
    write_services_file();
    for (int i = 0; i < plan_.entries; ++i)
        start_entry(i);
    publish_instances();
}

deployment::~deployment()
{
    entries_.clear();
    print_logs_after_failure(folder_);
    std::filesystem::remove_all(folder_);
}

std::string deployment::domain(int index) const
{
    return numbered_name("domain", index % plan_.failure_domains);
}

std::uint16_t deployment::proxied_port(
    bool use_proxy, std::uint16_t port, std::uint16_t& proxy_port)
{
    if (!use_proxy)
        return port;
    json const body{{"target", "127.0.0.1:" + std::to_string(port)}};
    auto const response = call(proxy_->port(), "POST", "/routes", {}, body.dump());
    proxy_port = static_cast<std::uint16_t>(protocol::integer_at(response.parsed(), "port"));
    return proxy_port;
}

void deployment::write_services_file()
{
    std::ofstream text(folder_ + "/services.ini");
    text << "[organisation tests]\nbearer_sha256 = " << protocol::sha256(bearer_token).str()
         << "\n";
    for (int i = 0; i < plan_.failure_domains; ++i)
        text << "[failure_domain " << domain(i) << "]\nregion = here\n";
    text << "[service assistant]\nkind = engine\n"
         << "[service booking]\nkind = plain\noperations = availability, book\n"
         << "idempotent = availability\n";
    for (int i = 0; i < plan_.engines; ++i)
        text << "[backend " << numbered_name("engine", i)
             << "]\nservice = assistant\nfailure_domain = " << domain(i)
             << "\naddress = 127.0.0.1:" << engine_ports_[i]
             << "\nconcurrency = " << plan_.backend_concurrency << "\n";
    for (int i = 0; i < plan_.services; ++i)
        text << "[backend " << numbered_name("desk", i)
             << "]\nservice = booking\nfailure_domain = " << domain(i)
             << "\naddress = 127.0.0.1:" << service_ports_[i]
             << "\nconcurrency = " << plan_.backend_concurrency << "\n";
}

std::string deployment::log_path(int index) const
{
    return folder_ + "/" + numbered_name("entry", index) + ".log";
}

void deployment::start_entry(int index)
{
    std::map<std::string, std::string> settings{
        {"id", numbered_name("entry", index)},
        {"failure_domain", domain(index)},
        {"region", "here"},
        {"platform", "127.0.0.1:" + std::to_string(platform_port_)},
        {"configuration_file", folder_ + "/services.ini"},
        {"peer_key", "a-key-that-only-tests-use"},
        {"poll_period_ms", "200"},
        {"review_scan_ms", "200"},
        {"readiness_delay_ms", "100"},
        {"adopt_delay_ms", "600"},
        {"log_level", "info"}};
    for (auto const& [key, value] : plan_.entry_settings)
        settings[key] = value;
    auto const path = folder_ + "/" + numbered_name("entry", index) + ".ini";
    std::ofstream text(path);
    text << "[entry]\n";
    for (auto const& [key, value] : settings)
        text << key << " = " << value << "\n";
    text.close();
    entries_.push_back(std::make_unique<process>(std::vector{
        program_path("auburnweir-entry"), std::string{"--settings"}, path, std::string{"--seed"},
        std::to_string(index + 1)}));
    entries_.back()->append_output_to(log_path(index));
}

void deployment::publish_instances()
{
    auto list = json::array();
    for (int i = 0; i < entries(); ++i)
    {
        if (std::find(unlisted_entries_.begin(), unlisted_entries_.end(), i) !=
            unlisted_entries_.end())
            continue;
        list.push_back(
            {{"id", numbered_name("entry", i)},
             {"incarnation", 1},
             {"failure_domain", domain(i)},
             {"region", "here"},
             {"host", "127.0.0.1"},
             {"port", entry(i).port("peers")}});
    }
    json const body{{"instances", list}};
    call(platform_->port(), "POST", "/control/instances", {}, body.dump());
    auto const expected = static_cast<double>(list.size());
    eventually(
        [&]
        {
            for (int i = 0; i < entries(); ++i)
            {
                bool const unlisted =
                    std::find(unlisted_entries_.begin(), unlisted_entries_.end(), i) !=
                    unlisted_entries_.end();
                if (!unlisted && counter(i, "auburnweir_instances_known") != expected)
                    return false;
            }
            return true;
        });
}

void deployment::control(process& standin, json const& body)
{
    call(standin.port(), "POST", "/control", {}, body.dump());
}

void deployment::set_proxy_faults(std::uint16_t proxy_port, json faults)
{
    faults["port"] = proxy_port;
    call(proxy_->port(), "POST", "/faults", {}, faults.dump());
}

void deployment::set_platform_network_faults(json faults)
{
    set_proxy_faults(platform_proxy_port_, std::move(faults));
}

void deployment::set_engine_network_faults(int index, json faults)
{
    set_proxy_faults(engine_proxy_ports_.at(index), std::move(faults));
}

void deployment::set_service_network_faults(int index, json faults)
{
    set_proxy_faults(service_proxy_ports_.at(index), std::move(faults));
}

void deployment::announce_reclaim(std::string const& subject, int milliseconds)
{
    json const notice{{"subject", subject}, {"time_left_ms", milliseconds}};
    json const body{{"notices", json::array({notice})}};
    call(platform_->port(), "POST", "/control/notices", {}, body.dump());
}

std::int64_t deployment::statistic(process& standin, std::string const& name)
{
    return protocol::integer_at(call(standin.port(), "GET", "/statistics").parsed(), name.c_str());
}

std::int64_t deployment::engine_statistic_total(std::string const& name)
{
    std::int64_t sum = 0;
    for (auto& e : engines_)
        if (e->pid() > 0)
            sum += statistic(*e, name);
    return sum;
}

std::int64_t deployment::run_count(std::string const& key)
{
    std::int64_t sum = 0;
    for (auto& s : services_)
        if (s->pid() > 0)
            sum += protocol::integer_at(call(s->port(), "GET", "/runs").parsed(), key.c_str());
    return sum;
}

double metric(std::string const& page, std::string const& name)
{
    auto const text = "\n" + page;
    auto const at = text.find("\n" + name + " ");
    if (at == std::string::npos)
        return 0;
    return std::stod(text.substr(at + name.size() + 2));
}

double deployment::counter(int index, std::string const& name)
{
    return metric(call(entry_port(index), "GET", "/metrics").body, name);
}

double deployment::counter_sum(std::string const& name)
{
    double sum = 0;
    for (int i = 0; i < entries(); ++i)
        if (entry(i).pid() > 0)
            sum += counter(i, name);
    return sum;
}

} // namespace auburnweir::tests
