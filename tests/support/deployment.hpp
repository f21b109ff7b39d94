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

/// Size and settings of a deployment under test.
struct deployment_plan
{
    int entries = 3;
    int engines = 3;
    int services = 2;
    int failure_domains = 3; ///< failure domains; processes are dealt out in turn
    std::int64_t token_us = 4000;
    int engine_slots = 64;
    bool proxied_platform = false; ///< entries reach the platform through the faulty network
    bool proxied_engines = false;
    bool proxied_services = false;
    std::map<std::string, std::string> entry_settings; ///< further lines of `[entry]`
    std::string concurrency = "16";
};

/// Real processes on loopback: platform, back ends and entry instances.
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

    std::uint16_t entry_port(int index) { return entry(index).port("callers"); }

    /// Sets faults of a stand-in (`POST /control`).
    static void control(process& standin, json const& body);

    /// Sets faults on the network to the platform, an engine or a service.
    void platform_network(json faults);
    void engine_network(int index, json faults);
    void service_network(int index, json faults);

    /// The platform announces that it takes a back end or an instance away.
    void announce(std::string const& subject, int milliseconds);

    /// Tells the platform which entries there are, and waits until all of them know.
    void publish_instances();

    /// Takes an entry off the platform's list.
    void unlist(int index) { unlisted_.push_back(index); }

    /// Sum of one figure of all engines' statistics.
    std::int64_t engine_total(std::string const& statistic);
    static std::int64_t statistic(process& standin, std::string const& name);

    /// How often the operation with this key or id ran, at all services together.
    std::int64_t runs(std::string const& key);

    /// One counter of an entry, by its whole name with labels; 0 when it is absent.
    double counter(int entry, std::string const& name);
    double counter_sum(std::string const& name);

private:
    void write_service_text();
    void start_entry(int index);
    std::uint16_t proxied(bool wanted, std::uint16_t port, std::uint16_t& route);
    void set_network(std::uint16_t route, json faults);
    std::string domain(int index) const;

    deployment_plan plan_;
    std::string folder_;
    std::unique_ptr<process> platform_;
    std::unique_ptr<process> proxy_;
    std::vector<std::unique_ptr<process>> engines_;
    std::vector<std::unique_ptr<process>> services_;
    std::vector<std::unique_ptr<process>> entries_;
    std::vector<int> unlisted_;
    std::uint16_t platform_port_ = 0;
    std::uint16_t platform_route_ = 0;
    std::vector<std::uint16_t> engine_ports_;
    std::vector<std::uint16_t> engine_routes_;
    std::vector<std::uint16_t> service_ports_;
    std::vector<std::uint16_t> service_routes_;
};

/// Waits until `holds` is true. @return false after `milliseconds`
bool eventually(std::function<bool()> const& holds, int milliseconds = 10000);

/// Bearer token that all test callers use, as a header.
header_list with_bearer_token(header_list more = {});

/// A chat body and what the stand-in engines answer to it.
std::string chat_body(std::string const& content, int max_tokens, bool stream);
std::string expected_answer(std::string const& content, int max_tokens);

/// One figure of a metrics page, by its whole name with labels; 0 when it is absent.
double metric(std::string const& page, std::string const& name);

/// Path of a program of this build.
std::string program(std::string const& name);

} // namespace auburnweir::tests

#endif
