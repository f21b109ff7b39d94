#include "programs/command_line.hpp"
#include "programs/program_support.hpp"
#include "soak/soak_callers.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>
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
    int max_delay_ms = 0;
    int broken_off = 0; ///< responses with status 200 that did not end as complete
    std::vector<std::string> violations;
};

/// Kills the processes of a run with this one; they share its process group.
void kill_process_group(int)
{
    kill(0, SIGKILL);
}

run_result run_seed(
    std::uint64_t seed, soak_size const& size, bool without_faults, std::string const& logs)
{
    auto const plan = without_faults ? std::vector<planned_fault>{} : plan_faults(seed, size);
    if (!logs.empty())
        std::filesystem::create_directories(logs);
    soak_record record;
    record.without_faults = without_faults;
    run_result result;
    soak_deployment deployment(size, plan_backends(seed, size), logs, record);
    soak_callers callers(size, seed, deployment, record);
    deployment.run(plan);
    bool const recovered = deployment.wait_for_recovery(max_recovery_time);
    callers.stop();
    deployment.collect_observations();
    result.violations = find_violations(record);
    result.max_delay_ms = static_cast<int>(record.max_delay.count());
    if (!recovered)
        result.violations.emplace_back("RECOVER: a gateway is not ready");
    for (auto const& r : record.requests)
    {
        ++result.status_counts[r.response.status];
        result.broken_off += r.response.status == 200 && !r.response.is_complete ? 1 : 0;
    }
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
    int without_faults = 0;
    soak_size size;
    char* logs = nullptr;
    char* builds = nullptr;
    poptOption const options[] = {
        {"first", 0, POPT_ARG_INT, &first, 0, "first seed", "N"},
        {"count", 0, POPT_ARG_INT, &count, 0, "number of seeds", "N"},
        {"seconds", 0, POPT_ARG_INT, &seconds, 0, "seconds of fault injection for each seed", "N"},
        {"no-faults", 0, POPT_ARG_NONE, &without_faults, 0,
         "injects no fault and demands whole responses", nullptr},
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
    // Files of a run stay in memory unless the caller chooses a folder: on a busy disk the removal
    // of a file took 0.7 s and more, and faults were late.
    setenv("TMPDIR", "/dev/shm", 0);
    setpgid(0, 0);
    signal(SIGTERM, kill_process_group);
    signal(SIGINT, kill_process_group);
    int failed = 0;
    for (int seed = first; seed < first + count; ++seed)
    {
        std::string folder;
        if (logs)
            folder.append(logs).append("/").append(std::to_string(seed));
        auto const result =
            run_seed(static_cast<std::uint64_t>(seed), size, without_faults != 0, folder);
        std::printf("seed %d: %s", seed, result.violations.empty() ? "kept" : "BROKEN");
        for (auto const& [status, responses] : result.status_counts)
            std::printf(" %d:%d", status, responses);
        std::printf(
            ", %d broken off, changes up to %d ms late\n", result.broken_off, result.max_delay_ms);
        for (auto const& violation : result.violations)
            std::printf("  %s\n", violation.c_str());
        std::fflush(stdout);
        failed += result.violations.empty() ? 0 : 1;
    }
    std::printf("%d passed, %d failed\n", count - failed, failed);
    return failed == 0 ? 0 : 1;
}
