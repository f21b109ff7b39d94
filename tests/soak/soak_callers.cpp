#include "soak/soak_callers.hpp"

#include "transport/clock.hpp"

#include <random>

namespace auburnweir::soak
{

namespace
{

using transport::now;

/// Timeout that callers state for a request.
constexpr int request_timeout_ms = 3000;

/// Callers wait longer than the stated timeout, to observe late responses.
constexpr int client_timeout_ms = request_timeout_ms + 5000;

/// Share of requests of the organisation with a limit; at times they are several times its limit.
constexpr double limited_request_share = 0.4;

/// Share of requests that go to a random gateway in place of the caller's usual one.
constexpr double other_gateway_share = 0.15;

constexpr int max_pause_ms = 25;

std::string path_of(request_kind kind, int route_number)
{
    switch (kind)
    {
    case request_kind::safe:
        return "/safe/x";
    case request_kind::once:
        return "/once/x";
    case request_kind::resumable:
        return "/stream/x";
    case request_kind::once_stream:
        return "/flow/stream/x";
    case request_kind::added_route:
        break;
    }
    return "/added-" + std::to_string(route_number) + "/x";
}

} // namespace

soak_callers::soak_callers(
    soak_size const& size, std::uint64_t seed, soak_deployment& deployment, soak_record& record)
    : size_(size)
    , deployment_(deployment)
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
    auto const random_below = [&](int n) {
        return std::uniform_int_distribution<>{0, n - 1}(random);
    };
    auto const with_probability = [&](double probability)
    { return std::bernoulli_distribution{probability}(random); };
    std::vector<tests::caller_session> sessions(size_.gateways);
    for (int number = 0; !stopped_; ++number)
    {
        observed_request r;
        r.id = "c" + std::to_string(index) + "-" + std::to_string(number);
        r.gateway = with_probability(other_gateway_share) ? random_below(size_.gateways)
                                                          : index % size_.gateways;
        r.kind =
            static_cast<request_kind>(random_below(deployment_.added_route_count() > 0 ? 5 : 4));
        if (r.kind == request_kind::added_route)
            r.route_number = random_below(deployment_.added_route_count());
        r.key = with_probability(limited_request_share) ? "limited" : deployment_.current_key();
        r.timeout_ms = request_timeout_ms;
        r.incarnation = deployment_.incarnation(r.gateway);
        r.sent_at = now();
        r.response = sessions[r.gateway].call_for_parts(
            deployment_.gateway_port(r.gateway), "POST", path_of(r.kind, r.route_number),
            {{"Host", "calls.test"},
             {"Auburnweir-Attempt-Id", r.id},
             {"Auburnweir-Deadline-Ms", std::to_string(request_timeout_ms)},
             {"Authorization", "Token " + r.key}},
            "order " + r.id, client_timeout_ms);
        r.ended_at = now();
        // After a restart in between it is unknown which incarnation responded; the request gets a
        // unique negative number.
        if (r.incarnation != deployment_.incarnation(r.gateway))
            r.incarnation = -1 - number;
        record_.add_request(std::move(r));
        std::this_thread::sleep_for(milliseconds{random_below(max_pause_ms)});
    }
}

} // namespace auburnweir::soak
