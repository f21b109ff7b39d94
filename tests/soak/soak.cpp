#include "programs/command_line.hpp"
#include "programs/program_support.hpp"
#include "soak/soak_callers.hpp"

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <map>
#include <unistd.h>

/// Runs real gateways under random faults and holds the promises of the public pages against what
/// callers and backends saw. The same seed places the same faults at the same times.

namespace
{

using namespace auburnweir;
using namespace auburnweir::soak;

/// Time in which all gateways serve again after the last fault.
constexpr milliseconds recovery_bound{12000};

struct outcome
{
    std::map<int, int> statuses;
    std::vector<std::string> broken;
};

/// The processes of a run end with this one: they are of its process group.
void end_group(int)
{
    kill(0, SIGKILL);
}

outcome run_seed(std::uint64_t seed, soak_size const& size, std::string const& logs)
{
    auto const plan = plan_faults(seed, size);
    if (!logs.empty())
        std::filesystem::create_directories(logs);
    soak_record record;
    outcome result;
    soak_deployment world(size, logs, record);
    soak_callers callers(size, seed, world, record);
    world.play(plan);
    bool const recovered = world.recover(recovery_bound);
    callers.stop();
    world.collect();
    result.broken = broken_promises(record);
    if (!recovered)
        result.broken.emplace_back("RECOVER: a gateway is not ready");
    for (auto const& r : record.requests)
        ++result.statuses[r.reply.status];
    if (!result.broken.empty())
        for (auto const& fault : plan)
            std::printf("  %s\n", to_text(fault).c_str());
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
    poptOption const options[] = {
        {"first", 0, POPT_ARG_INT, &first, 0, "first seed", "N"},
        {"count", 0, POPT_ARG_INT, &count, 0, "number of seeds", "N"},
        {"seconds", 0, POPT_ARG_INT, &seconds, 0, "time with faults for each seed", "N"},
        {"gateways", 0, POPT_ARG_INT, &size.gateways, 0, "number of gateways", "N"},
        {"backends", 0, POPT_ARG_INT, &size.backends, 0, "number of backend servers", "N"},
        {"callers", 0, POPT_ARG_INT, &size.callers, 0, "threads that send requests", "N"},
        {"logs", 0, POPT_ARG_STRING, &logs, 0, "folder for the gateways' logs", "FOLDER"},
        POPT_AUTOHELP POPT_TABLEEND};
    programs::command_line line(argc, argv, options, "[OPTION...]");
    if (auto const wrong = line.parse(); !wrong.empty())
    {
        std::fprintf(stderr, "%s\n", wrong.c_str());
        return programs::exit_usage;
    }
    size.length_ms = seconds * 1000;
    setpgid(0, 0);
    signal(SIGTERM, end_group);
    signal(SIGINT, end_group);
    int failed = 0;
    for (int seed = first; seed < first + count; ++seed)
    {
        std::string folder;
        if (logs)
            folder.append(logs).append("/").append(std::to_string(seed));
        auto const result = run_seed(static_cast<std::uint64_t>(seed), size, folder);
        std::printf("seed %d: %s", seed, result.broken.empty() ? "kept" : "BROKEN");
        for (auto const& [status, number] : result.statuses)
            std::printf(" %d:%d", status, number);
        std::printf("\n");
        for (auto const& what : result.broken)
            std::printf("  %s\n", what.c_str());
        std::fflush(stdout);
        failed += result.broken.empty() ? 0 : 1;
    }
    std::printf("%d passed, %d failed\n", count - failed, failed);
    return failed == 0 ? 0 : 1;
}
