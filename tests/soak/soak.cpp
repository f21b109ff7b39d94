#include "programs/command_line.hpp"
#include "programs/program_support.hpp"
#include "soak/soak_callers.hpp"

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <map>
#include <unistd.h>

/// Runs real gateways under random faults and checks what callers and backends observed against the
/// guarantees of the public pages. The same seed injects the same faults at the same times.

namespace
{

using namespace auburnweir;
using namespace auburnweir::soak;

/// Time within which all gateways are ready after the last fault.
constexpr milliseconds max_recovery_time{12000};

struct run_result
{
    std::map<int, int> status_counts;
    std::vector<std::string> violations;
};

/// Kills the processes of a run with this one; they share its process group.
void kill_process_group(int)
{
    kill(0, SIGKILL);
}

run_result run_seed(std::uint64_t seed, soak_size const& size, std::string const& logs)
{
    auto const plan = plan_faults(seed, size);
    if (!logs.empty())
        std::filesystem::create_directories(logs);
    soak_record record;
    run_result result;
    soak_deployment deployment(size, logs, record);
    soak_callers callers(size, seed, deployment, record);
    deployment.run(plan);
    bool const recovered = deployment.wait_for_recovery(max_recovery_time);
    callers.stop();
    deployment.collect_observations();
    result.violations = find_violations(record);
    if (!recovered)
        result.violations.emplace_back("RECOVER: a gateway is not ready");
    for (auto const& r : record.requests)
        ++result.status_counts[r.response.status];
    if (!result.violations.empty())
        for (auto const& fault : plan)
            std::printf("  %s\n", describe(fault).c_str());
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    int first = 1;
    int count = 1;
    int seconds = 15;
    soak_size size;
    char* logs = nullptr;
    char* builds = nullptr;
    poptOption const options[] = {
        {"first", 0, POPT_ARG_INT, &first, 0, "first seed", "N"},
        {"count", 0, POPT_ARG_INT, &count, 0, "number of seeds", "N"},
        {"seconds", 0, POPT_ARG_INT, &seconds, 0, "seconds of fault injection for each seed", "N"},
        {"gateways", 0, POPT_ARG_INT, &size.gateways, 0, "number of gateways", "N"},
        {"backends", 0, POPT_ARG_INT, &size.backends, 0, "number of backend servers", "N"},
        {"callers", 0, POPT_ARG_INT, &size.callers, 0, "threads that send requests", "N"},
        {"logs", 0, POPT_ARG_STRING, &logs, 0, "folder for the gateways' logs", "FOLDER"},
        {"builds", 0, POPT_ARG_STRING, &builds, 0,
         "gateways change between this build and those in FOLDER/BUILD", "FOLDER"},
        POPT_AUTOHELP POPT_TABLEEND};
    programs::command_line line(argc, argv, options, "[OPTION...]");
    if (auto const error = line.parse(); !error.empty())
    {
        std::fprintf(stderr, "%s\n", error.c_str());
        return programs::exit_usage;
    }
    size.fault_phase_ms = seconds * 1000;
    if (builds)
    {
        size.gateway_builds = tests::builds_in(builds);
        size.gateway_builds.emplace_back();
    }
    setpgid(0, 0);
    signal(SIGTERM, kill_process_group);
    signal(SIGINT, kill_process_group);
    int failed = 0;
    for (int seed = first; seed < first + count; ++seed)
    {
        std::string folder;
        if (logs)
            folder.append(logs).append("/").append(std::to_string(seed));
        auto const result = run_seed(static_cast<std::uint64_t>(seed), size, folder);
        std::printf("seed %d: %s", seed, result.violations.empty() ? "kept" : "BROKEN");
        for (auto const& [status, responses] : result.status_counts)
            std::printf(" %d:%d", status, responses);
        std::printf("\n");
        for (auto const& violation : result.violations)
            std::printf("  %s\n", violation.c_str());
        std::fflush(stdout);
        failed += result.violations.empty() ? 0 : 1;
    }
    std::printf("%d passed, %d failed\n", count - failed, failed);
    return failed == 0 ? 0 : 1;
}
