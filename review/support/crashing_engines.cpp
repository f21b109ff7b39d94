#include "support/crashing_engines.hpp"

namespace auburnweir::review
{

namespace
{

using namespace std::chrono_literals;

/// A crashed engine is back after this time.
constexpr auto restart_delay = 3s;
constexpr auto poll_interval = 50ms;

constexpr int request_delay_ms = 1500;
constexpr int sound_channels = 12;
constexpr auto route_timeout = 3000ms;
constexpr auto pause_after_failure = 300ms;

header_list make_headers(std::string const& id)
{
    return {
        {"Host", "calls.example"},
        {"Auburnweir-Attempt-Id", id},
        {"Auburnweir-Deadline-Ms", "3000"},
        {"Authorization", "Token key-1"}};
}

} // namespace

call_request make_prompt(std::string const& id, std::vector<std::string> const& shared_parts)
{
    call_request request;
    request.target = "/" + std::string{prompt_route} + "/1";
    request.headers = make_headers(id);
    std::string prefix;
    for (auto const& part : shared_parts)
        prefix += part + ":100,";
    request.headers.emplace_back("Auburnweir-Model", "m");
    request.headers.emplace_back("Auburnweir-Token-Count", "1460,80");
    request.headers.emplace_back("Auburnweir-Prompt-Prefix", prefix + "own-" + id + ":250");
    request.body = "prompt of " + id;
    return request;
}

crashing_engines::crashing_engines(deployment& system, bool crash, record& log)
    : system_(system)
    , crash_(crash)
    , log_(log)
    , ended_at_(static_cast<std::size_t>(system.engines()))
{
    for (int i = 0; i < system_.engines(); ++i)
        prepare(i);
    thread_ = std::thread([this] { run(); });
}

crashing_engines::~crashing_engines()
{
    stopping_ = true;
    thread_.join();
}

void crashing_engines::prepare(int engine) const
{
    system_.control_engine(
        engine, {{"crash_segment", crash_ ? bad_part : ""}, {"delay_ms", request_delay_ms}});
}

void crashing_engines::restart(int engine)
{
    std::lock_guard lock(mutex_);
    system_.restart_engine(engine);
    prepare(engine);
    system_.list_engine(engine);
}

void crashing_engines::run()
{
    while (!stopping_)
    {
        std::this_thread::sleep_for(poll_interval);
        for (int i = 0; i < static_cast<int>(ended_at_.size()); ++i)
        {
            auto& ended_at = ended_at_[i];
            if (!ended_at && system_.engine_has_ended(i))
            {
                ended_at = log_.elapsed();
                log_.line("engine " + std::to_string(i + 1) + " has crashed");
                std::lock_guard lock(mutex_);
                crashes_.push_back(*ended_at);
            }
            if (!ended_at || log_.elapsed() - *ended_at < restart_delay)
                continue;
            ended_at.reset();
            restart(i);
            log_.line("engine " + std::to_string(i + 1) + " is back");
        }
    }
}

void crashing_engines::record_runs() const
{
    std::lock_guard lock(mutex_);
    system_.record_runs();
}

int crashing_engines::crashes() const
{
    std::lock_guard lock(mutex_);
    return static_cast<int>(crashes_.size());
}

int crashing_engines::crashes_after_bound() const
{
    std::lock_guard lock(mutex_);
    if (crashes_.size() < crashes_that_tell)
        return 0;
    auto const bound = crashes_[crashes_that_tell - 1] + contact_time;
    return static_cast<int>(
        std::count_if(crashes_.begin(), crashes_.end(), [&](auto at) { return at > bound; }));
}

sound_clients::sound_clients(deployment const& to, record& log)
    : to_(to)
    , log_(log)
{
    for (int i = 0; i < sound_channels; ++i)
        threads_.emplace_back([this, i] { run(i); });
}

sound_clients::~sound_clients()
{
    stopping_ = true;
    for (auto& t : threads_)
        t.join();
}

void sound_clients::run(int channel)
{
    http_connection connection(to_.callers(channel % to_.gateways()));
    for (int i = 0; !stopping_; ++i)
    {
        call_request request;
        auto const id = "sound-" + std::to_string(channel) + "-" + std::to_string(i);
        request.target = "/deposit/1";
        request.headers = make_headers(id);
        request.body = "a deposit";
        auto const response = connection.call(request, route_timeout + 500ms);
        if (response.status == 200)
        {
            ++served_;
            continue;
        }
        lost_ += response.status == 502 ? 1 : 0;
        log_.line("client: " + id + ", status " + std::to_string(response.status));
        std::this_thread::sleep_for(pause_after_failure);
    }
}

int send_prompts(
    deployment const& to, std::string const& series, int count,
    std::vector<std::string> const& shared_parts, std::chrono::milliseconds interval,
    int first_gateway, record& log)
{
    std::atomic<int> served{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < count; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                auto const id = series + "-" + std::to_string(i);
                auto const gateway = (first_gateway + i) % to.gateways();
                auto const response = call_once(to.callers(gateway), make_prompt(id, shared_parts));
                served += response.status == 200 ? 1 : 0;
                log.line(
                    "client: " + id + " to gateway " + std::to_string(gateway + 1) + ", status " +
                    std::to_string(response.status));
            });
        if (i + 1 < count)
            std::this_thread::sleep_for(interval);
    }
    for (auto& t : threads)
        t.join();
    return served;
}

int judge_crashes(crashing_engines const& engines, sound_clients const& clients, record& log)
{
    engines.record_runs();
    auto const later = engines.crashes_after_bound();
    log.line(
        "engines have crashed " + std::to_string(engines.crashes()) + " times, " +
        std::to_string(later) + " of them later than contactMs after the fifth; sound requests: " +
        std::to_string(clients.served()) + " answered, " + std::to_string(clients.lost()) +
        " lost with an engine");
    if (later <= allowed_later_requests)
        return exit_held;
    log.line(
        "BROKEN: BUDGET: more than three requests with the part have reached engines later than "
        "contactMs after the fifth crash");
    return exit_broken;
}

} // namespace auburnweir::review
