#include "support/crashing_engines.hpp"

/// Case 4: requests with one part in their prompts crash each engine that begins to answer them.
/// The gateways refuse them, until all gateways are killed: what they know of the part is gone, and
/// the part crashes the engines once more, together with the sound requests that run there.

namespace
{

using namespace auburnweir::review;
using namespace std::chrono_literals;

constexpr auto gateway_restart_delay = 500ms;

constexpr int first_requests = 8;
constexpr int quarantined_requests = 3;
constexpr int later_requests = 8;
constexpr auto request_interval = 200ms;

/// Kills all gateways, starts them again and waits until they are in touch.
bool disrupt(deployment& system, record& log)
{
    for (int i = 0; i < system.gateways(); ++i)
        system.kill_gateway(i);
    std::this_thread::sleep_for(gateway_restart_delay);
    for (int i = 0; i < system.gateways(); ++i)
        system.start_gateway(i);
    bool const ready = system.wait_until_ready();
    std::this_thread::sleep_for(contact_time + 1s);
    log.line("the gateways have been in touch for contactMs");
    return ready;
}

int run(case_options const& options)
{
    record log(options.folder + "/record.txt");
    deployment system({3, 6}, log);
    system.add_route(prompt_route, "unsafe", true);
    crashing_engines const engines(system, true, log);
    if (!system.wait_until_ready())
    {
        log.line("the deployment did not become ready");
        return exit_not_run;
    }
    sound_clients const clients(system, log);
    std::this_thread::sleep_for(2s);
    send_prompts(system, "first", first_requests, {bad_part}, request_interval, 0, log);
    std::this_thread::sleep_for(contact_time + 2s);
    auto const first_crashes = engines.crashes();
    if (first_crashes < crashes_that_tell)
    {
        log.line("only " + std::to_string(first_crashes) + " engines have crashed");
        return exit_not_run;
    }
    send_prompts(system, "quarantined", quarantined_requests, {bad_part}, request_interval, 0, log);
    if (options.trouble && !disrupt(system, log))
    {
        log.line("the gateways did not become ready again");
        return exit_not_run;
    }
    send_prompts(system, "later", later_requests, {bad_part}, request_interval, 0, log);
    std::this_thread::sleep_for(1s);
    return judge_crashes(engines, clients, log);
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
