#ifndef AUBURNWEIR_REVIEW_CRASHING_ENGINES_HPP
#define AUBURNWEIR_REVIEW_CRASHING_ENGINES_HPP

#include "support/deployment.hpp"

#include <algorithm>
#include <atomic>
#include <optional>
#include <thread>

namespace auburnweir::review
{

/// The rule on parts that crash engines, and the settings of the site that it refers to.
inline constexpr std::chrono::milliseconds contact_time{4000};
inline constexpr int crashes_that_tell = 5;
inline constexpr int allowed_later_requests = 3;

/// The route that carries prompts; its requests must not be repeated.
inline constexpr char const* prompt_route = "quote-chat";

/// A part that crashes each engine that begins to answer a request with it, and one that doesn't.
inline constexpr char const* bad_part = "5c1e07a2";
inline constexpr char const* sound_part = "91bd3f06";

/// A request whose prompt has the given shared parts and one of its own.
call_request make_prompt(std::string const& id, std::vector<std::string> const& shared_parts);

/// Makes engines crash under requests with the bad part, starts them again after some seconds, and
/// counts their crashes.
class crashing_engines
{
public:
    crashing_engines(deployment& system, bool crash, record& log);
    ~crashing_engines();

    crashing_engines(crashing_engines const&) = delete;
    crashing_engines& operator=(crashing_engines const&) = delete;

    int crashes() const;

    /// Writes the number of requests that each engine has run to the record.
    void record_runs() const;

    /// Crashes later than `contact_time` after the fifth one. Each is at least one request with the
    /// part that has reached an engine.
    int crashes_after_bound() const;

private:
    void run();
    void restart(int engine);
    void prepare(int engine) const;

    deployment& system_;
    bool const crash_;
    record& log_;
    std::vector<std::optional<std::chrono::milliseconds>> ended_at_;
    mutable std::mutex mutex_; ///< guards the crashes and the engines' processes
    std::vector<std::chrono::milliseconds> crashes_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

/// Clients that send sound requests to the engines' other route, each on a channel of its own.
class sound_clients
{
public:
    sound_clients(deployment const& to, record& log);
    ~sound_clients();

    sound_clients(sound_clients const&) = delete;
    sound_clients& operator=(sound_clients const&) = delete;

    /// Requests that were sent on to an engine and got no answer of it (502).
    int lost() const { return lost_; }
    int served() const { return served_; }

private:
    void run(int channel);

    deployment const& to_;
    record& log_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> lost_{0};
    std::atomic<int> served_{0};
    std::vector<std::thread> threads_;
};

/// Sends prompts to all gateways in turn from `first_gateway` on, one at each interval, each on a
/// new channel.
/// @return how many were answered with 200
int send_prompts(
    deployment const& to, std::string const& series, int count,
    std::vector<std::string> const& shared_parts, std::chrono::milliseconds interval,
    int first_gateway, record& log);

/// Writes the outcome of the rule to the record. @return the exit code of the case
int judge_crashes(crashing_engines const& engines, sound_clients const& clients, record& log);

} // namespace auburnweir::review

#endif
