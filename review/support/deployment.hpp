#ifndef AUBURNWEIR_REVIEW_DEPLOYMENT_HPP
#define AUBURNWEIR_REVIEW_DEPLOYMENT_HPP

#include "support/http_call.hpp"
#include "support/process.hpp"

#include <nlohmann/json.hpp>

#include <deque>
#include <fstream>
#include <functional>
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
    int engine_slots = 8;
};

/// State of an engine in the directory.
enum class listing
{
    ready,
    draining
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
    /// Number of engines that were started so far.
    int engines() const { return static_cast<int>(engines_.size()); }
    endpoint callers(int gateway) const;
    bool is_ready(int gateway) const;

    void start_gateway(int index);
    void kill_gateway(int index);
    int pid_of_gateway(int index) const;

    /// Writes the newest configuration, also again after the store has lost it.
    void write_configuration();

    /// Adds a route in a new version of the configuration.
    void add_route(std::string const& name, std::string const& kind, bool carries_prompt);

    /// Starts a further engine at a new address. @return its index
    int start_engine();

    /// Starts an engine again that has ended, under its id and at a new address.
    void restart_engine(int index);

    /// Ends an engine's process.
    void stop_engine(int index);

    /// Whether an engine's process has ended by itself.
    bool engine_has_ended(int index);

    /// Sends a command to an engine.
    bool control_engine(int index, json const& command) const;

    /// Numbers of runs by request, of one engine's process; empty when it doesn't answer.
    json runs_of_engine(int index) const;

    /// Writes the number of requests that each engine's process has run to the record.
    void record_runs() const;

    /// Writes or removes the row of an engine in the directory.
    void list_engine(int index, listing state = listing::ready);
    void remove_engine(int index);

    /// Sends a command to the stand-in for the store.
    bool control_store(json const& command) const;

    /// Calls of the duties that the platform has accepted, in order.
    json duty_calls() const;

    std::string const& folder() const { return folder_; }

private:
    struct engine
    {
        std::unique_ptr<tests::process> process;
        std::uint16_t port = 0;
        std::int64_t born_at_ms = 0;
    };

    void start_engine_process(int index);
    std::string settings_of(int index) const;

    deployment_plan plan_;
    record& log_;
    std::string folder_;
    std::string network_; ///< first three bytes of the gateways' addresses
    std::unique_ptr<tests::process> store_;
    std::vector<engine> engines_;
    std::vector<std::unique_ptr<tests::process>> gateways_;
    json configuration_;
    std::int64_t version_ = 0;
};

/// The case's folder and whether the disruption is wanted, from the command line and `TROUBLE`.
struct case_options
{
    std::string folder;
    bool trouble = true;
};

/// Runs a case, prints its outcome and turns exceptions into `exit_not_run`. @return the exit code
int run_case(int argc, char** argv, std::function<int(case_options const&)> const& run);

} // namespace auburnweir::review

#endif
