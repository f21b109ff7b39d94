#ifndef AUBURNWEIR_TESTS_DEPLOYMENT_HPP
#define AUBURNWEIR_TESTS_DEPLOYMENT_HPP

#include "engine_model.hpp"
#include "support/caller.hpp"
#include "support/process.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburnweir::tests
{

/// Size and settings of a deployment of entry instances.
struct deployment_plan
{
    int entries = 3;
    int engines = 3;
    int services = 2;
    int failure_domains = 3; ///< processes are assigned round-robin
    std::int64_t token_us = 4000;
    int engine_slots = 64;
    bool proxied_platform = false; ///< calls to the platform pass the fault-injecting proxy
    bool proxied_engines = false;
    bool proxied_services = false;
    std::map<std::string, std::string> entry_settings; ///< of `[entry]`, over the defaults
    std::string backend_concurrency = "16"; ///< key `concurrency` of each engine and service
};

/// Real processes on loopback: platform, backend servers and entry instances.
class deployment
{
public:
    explicit deployment(deployment_plan plan);
    ~deployment();

    process& platform() { return *platform_; }
    process& engine(int index) { return *engines_.at(index); }
    process& service(int index) { return *services_.at(index); }
    process& entry(int index) { return *entries_.at(index); }
    int engines() const { return static_cast<int>(engines_.size()); }
    int entries() const { return static_cast<int>(entries_.size()); }

    /// Log of an entry; removed at the end.
    std::string log_path(int index) const;

    std::uint16_t entry_port(int index) { return entry(index).port("callers"); }

    /// Sets faults of a stand-in with `POST /control`.
    static void control(process& standin, json const& body);

    /// Set faults on the proxied connections to the platform, an engine or a service.
    void set_platform_network_faults(json faults);
    void set_engine_network_faults(int index, json faults);
    void set_service_network_faults(int index, json faults);

    /// Makes the platform announce that it reclaims a backend server or an instance in
    /// `milliseconds`. @param subject its name, such as `engine-1`
    void announce_reclaim(std::string const& subject, int milliseconds);

    /// Sends the list of entries to the platform and waits up to 10 s until each listed entry has
    /// applied it.
    void publish_instances();

    /// Omits an entry from the next list of instances.
    void remove_from_instance_list(int index) { unlisted_entries_.push_back(index); }

    /// One value of the statistics, summed over all running engines.
    std::int64_t engine_statistic_total(std::string const& name);
    /// One value of a stand-in's statistics.
    static std::int64_t statistic(process& standin, std::string const& name);

    /// Number of runs of the operation with this key or id, summed over all running services.
    std::int64_t run_count(std::string const& key);

    /// One counter of an entry, by its full name with labels; 0 when it is absent.
    double counter(int entry, std::string const& name);
    /// The same counter, summed over all running entries.
    double counter_sum(std::string const& name);

private:
    void write_services_file();
    void start_entry(int index);
    /// Opens a proxy port in front of `port` and stores it in `proxy_port`, if `use_proxy` is set.
    /// @return the port that entries connect to
    std::uint16_t proxied_port(bool use_proxy, std::uint16_t port, std::uint16_t& proxy_port);
    void set_proxy_faults(std::uint16_t proxy_port, json faults);
    std::string domain(int index) const;

    deployment_plan plan_;
    std::string folder_;
    std::unique_ptr<process> platform_;
    std::unique_ptr<process> proxy_;
    std::vector<std::unique_ptr<process>> engines_;
    std::vector<std::unique_ptr<process>> services_;
    std::vector<std::unique_ptr<process>> entries_;
    std::vector<int> unlisted_entries_;
    std::uint16_t platform_port_ = 0;
    std::uint16_t platform_proxy_port_ = 0;
    std::vector<std::uint16_t> engine_ports_;
    std::vector<std::uint16_t> engine_proxy_ports_;
    std::vector<std::uint16_t> service_ports_;
    std::vector<std::uint16_t> service_proxy_ports_;
};

/// Waits until `condition` is true. @return false after `milliseconds`
bool eventually(std::function<bool()> const& condition, int milliseconds = 10000);

/// Adds the `Authorization` header with the bearer token that all test callers use.
header_list with_bearer_token(header_list headers = {});

/// Body of a chat request.
std::string chat_body(std::string const& content, int max_tokens, bool stream);

/// The stand-in engines' answer to the chat request with this content.
std::string expected_answer(std::string const& content, int max_tokens);

/// One value of a metrics page, by its full name with labels; 0 when it is absent.
double metric(std::string const& page, std::string const& name);

/// Path of a program in the build folder.
std::string program_path(std::string const& name);

} // namespace auburnweir::tests

#endif
