#include "support/crashing_engines.hpp"

/// Case 4: three requests crash engines by one part of their prompts. They are the first that come
/// with another, sound part. The gateways quarantine both, and refuse all sound requests that share
/// the sound part.

namespace
{

using namespace auburnweir::review;
using namespace std::chrono_literals;

constexpr char const* old_template = "91bd3f06";
constexpr char const* new_template = "7f20ab31";

constexpr int sound_requests = 30;
constexpr int min_sound_requests = 20;
constexpr auto sound_interval = 100ms;

constexpr int bad_requests = 3;
constexpr auto bad_interval = 600ms;

/// Requests with the bad part that come during and after the wait of 2 x `contactMs`.
constexpr int later_bad_requests = 6;
constexpr auto later_bad_interval = 2s;

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
    auto const usual =
        send_prompts(system, "usual", sound_requests, {old_template}, sound_interval, 0, log);
    if (usual < min_sound_requests)
    {
        log.line("only " + std::to_string(usual) + " sound requests were answered at first");
        return exit_not_run;
    }
    send_prompts(system, "bad", bad_requests, {new_template, bad_part}, bad_interval, 0, log);
    send_prompts(
        system, "later-bad", later_bad_requests, {new_template, bad_part}, later_bad_interval, 0,
        log);
    log.line("2 x contactMs after the last crash are over");
    std::thread still_bad(
        [&] {
            send_prompts(
                system, "last-bad", 2, {new_template, bad_part}, later_bad_interval, 1, log);
        });
    auto const served =
        send_prompts(system, "sound", sound_requests, {new_template}, sound_interval, 0, log);
    still_bad.join();
    engines.record_runs();
    log.line(
        "sound requests answered at the first attempt: " + std::to_string(usual) + " of " +
        std::to_string(sound_requests) + " before, " + std::to_string(served) + " of " +
        std::to_string(sound_requests) +
        " while requests with the part come; engines have crashed " +
        std::to_string(engines.crashes()) + " times");
    if (2 * served >= usual)
        return exit_held;
    log.line("BROKEN: LOST: sound requests with the same key and first part begin less than half "
             "as often as before");
    return exit_broken;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
