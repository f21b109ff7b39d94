#include "support/crashing_engines.hpp"

/// Case 3: the first of 18 shared parts of prompts crashes each engine that begins to answer. The
/// gateways look at the last 16 shared parts alone and never find it.

namespace
{

using namespace auburnweir::review;
using namespace std::chrono_literals;

/// Shared parts of a prompt: the bad one and those of a long session after it.
constexpr int session_parts = 17;

constexpr int bad_requests = 20;
constexpr auto request_interval = 1500ms;

/// The parts of one session; no other session has them.
std::vector<std::string> session(int number)
{
    std::vector<std::string> parts{bad_part};
    for (int i = 0; i < session_parts; ++i)
        parts.push_back("s" + std::to_string(number) + "x" + std::to_string(i));
    return parts;
}

int run(case_options const& options)
{
    record log(options.folder + "/record.txt");
    deployment system({3, 6}, log);
    system.add_route(prompt_route, "unsafe", true);
    crashing_engines const engines(system, options.trouble, log);
    if (!system.wait_until_ready())
    {
        log.line("the deployment did not become ready");
        return exit_not_run;
    }
    sound_clients const clients(system, log);
    std::this_thread::sleep_for(2s);
    for (int i = 0; i < bad_requests; ++i)
    {
        send_prompts(system, "session-" + std::to_string(i), 1, session(i), 0ms, i, log);
        std::this_thread::sleep_for(request_interval);
    }
    return judge_crashes(engines, clients, log);
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
