#ifndef AUBURNWEIR_REVIEW_DEPLOYMENT_HPP
#define AUBURNWEIR_REVIEW_DEPLOYMENT_HPP

#include "support/http_call.hpp"
#include "support/process.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace auburnweir::review
{

using nlohmann::json;

/// Exit codes of a case.
inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_not_run = 2;

/// Writes lines with the time since the start to the case's record. Thread-safe.
class record
{
public:
    explicit record(std::string const& path);

    void line(std::string const& text);

    /// Time since the start.
    std::chrono::milliseconds elapsed() const;

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::chrono::steady_clock::time_point const started_;
};

/// Sizes of a deployment.
struct deployment_plan
{
    int gateways = 3;
    int engines = 2;
};

/// A small deployment of real processes on loopback addresses: the project's stand-ins for the
/// store and the engines, and gateways with the settings that the deploy file's template gives.
///
/// Each gateway has an address of its own, as the template sets fixed ports.
class deployment
{
public:
    deployment(deployment_plan plan, record& log);
    ~deployment();

    deployment(deployment const&) = delete;
    deployment& operator=(deployment const&) = delete;

    /// Waits until all gateways are ready and one of them holds the duties.
    /// @return false when that takes longer than 30 s
    bool wait_until_ready();

    int gateways() const { return plan_.gateways; }
    int engines() const { return plan_.engines; }
    endpoint callers(int gateway) const;
    bool is_ready(int gateway) const;

    void start_gateway(int index);
    void kill_gateway(int index);
    int pid_of_gateway(int index) const;

    /// The value of a route's, a tenant's or another field can be changed before it is written.
    json& configuration() { return configuration_; }
    void write_configuration();

    /// Writes the row of an engine in the directory.
    void list_engine(int index);

    /// Sends a command to the stand-in for the store.
    bool control_store(json const& command) const;

    /// Calls of the duties that the platform has accepted, in order.
    json duty_calls() const;

    std::string const& folder() const { return folder_; }

private:
    tests::process const& engine(int index) const { return *engines_.at(index); }
    std::string settings_of(int index) const;

    deployment_plan plan_;
    record& log_;
    std::string folder_;
    std::string network_; ///< first three bytes of the gateways' addresses
    std::unique_ptr<tests::process> store_;
    std::vector<std::unique_ptr<tests::process>> engines_;
    std::vector<std::unique_ptr<tests::process>> gateways_;
    json configuration_;
    std::int64_t version_ = 0;
    std::int64_t engines_born_at_ms_ = 0;
};

/// The case's folder and whether the disruption is wanted, from the command line and `TROUBLE`.
struct case_options
{
    std::string folder;
    bool trouble = true;
};

case_options options_from(int argc, char** argv);

} // namespace auburnweir::review

#endif
