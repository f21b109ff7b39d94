#include "soak/soak_callers.hpp"

#include "transport/clock.hpp"

#include <random>

namespace auburnweir::soak
{

namespace
{

using transport::now;

/// Time that callers give a request, in milliseconds.
constexpr int request_limit_ms = 3000;

/// A caller waits longer than it says, to see late answers.
constexpr int patience_ms = request_limit_ms + 5000;

/// Share of requests of the organisation with a limit; some times several times its limit.
constexpr double limited_share = 0.4;

/// Share of requests that go to another gateway than the caller's own.
constexpr double stray_share = 0.15;

constexpr int longest_pause_ms = 25;

std::string path_of(request_kind kind, int route)
{
    switch (kind)
    {
    case request_kind::safe:
        return "/safe/x";
    case request_kind::once:
        return "/once/x";
    case request_kind::resumable:
        return "/stream/x";
    case request_kind::flow:
        return "/flow/stream/x";
    case request_kind::added_route:
        break;
    }
    return "/added-" + std::to_string(route) + "/x";
}

} // namespace

soak_callers::soak_callers(
    soak_size const& size, std::uint64_t seed, soak_deployment& world, soak_record& record)
    : size_(size)
    , world_(world)
    , record_(record)
{
    for (int i = 0; i < size.callers; ++i)
        threads_.emplace_back([this, i, seed] { run(i, seed); });
}

soak_callers::~soak_callers()
{
    stop();
}

void soak_callers::stop()
{
    stopped_ = true;
    for (auto& thread : threads_)
        if (thread.joinable())
            thread.join();
}

void soak_callers::run(int index, std::uint64_t seed)
{
    std::mt19937_64 random(seed * 1000 + static_cast<std::uint64_t>(index));
    auto const below = [&](int n) { return std::uniform_int_distribution<>{0, n - 1}(random); };
    auto const happens = [&](double share) { return std::bernoulli_distribution{share}(random); };
    std::vector<tests::caller_session> kept(size_.gateways);
    for (int number = 0; !stopped_; ++number)
    {
        seen_request r;
        r.id = "c" + std::to_string(index) + "-" + std::to_string(number);
        r.gateway = happens(stray_share) ? below(size_.gateways) : index % size_.gateways;
        r.kind = static_cast<request_kind>(below(world_.routes() > 0 ? 5 : 4));
        if (r.kind == request_kind::added_route)
            r.route = below(world_.routes());
        r.key = happens(limited_share) ? "limited" : world_.key();
        r.limit_ms = request_limit_ms;
        r.life = world_.life(r.gateway);
        r.sent = now();
        r.reply = kept[r.gateway].call(
            world_.gateway_port(r.gateway), "POST", path_of(r.kind, r.route),
            {{"Host", "calls.test"},
             {"Auburnweir-Attempt-Id", r.id},
             {"Auburnweir-Deadline-Ms", std::to_string(request_limit_ms)},
             {"Authorization", "Token " + r.key}},
            "order " + r.id, patience_ms);
        r.ended = now();
        // A restart in between leaves open which life answered.
        if (r.life != world_.life(r.gateway))
            r.life = -1 - number;
        record_.add(std::move(r));
        std::this_thread::sleep_for(milliseconds{below(longest_pause_ms)});
    }
}

} // namespace auburnweir::soak
