#ifndef AUBURNWEIR_TESTS_OPEN_LOAD_HPP
#define AUBURNWEIR_TESTS_OPEN_LOAD_HPP

#include "support/gateway_deployment.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace auburnweir::tests
{

/// Requests that are sent at a steady rate, each with a path of its own, whatever became of the
/// earlier ones, at one gateway after the other.
struct request_stream
{
    std::string path; ///< prefix of the paths; ends with a slash
    double per_second = 1;
    int gateways = 1;
    header_list headers; ///< of each request
};

/// What became of one request.
struct load_outcome
{
    std::chrono::steady_clock::time_point sent_at;
    int status = 0; ///< 0: no response
    std::string reason;

    bool is_served() const { return status == 200; }
};

using load_outcomes = std::vector<load_outcome>; ///< in the order of sending

/// Sends the requests of all streams for `length` while `meanwhile` runs.
/// @return the outcomes of each stream
std::vector<load_outcomes> run_open_load(
    gateway_deployment& system, std::vector<request_stream> const& streams,
    std::chrono::milliseconds length, std::function<void()> const& meanwhile);

/// Number of served requests that were sent in a span of time, and of all.
struct served_count
{
    int served = 0;
    int sent = 0;

    double share() const { return sent == 0 ? 0 : static_cast<double>(served) / sent; }
};

served_count count_served(
    load_outcomes const& outcomes, std::chrono::steady_clock::time_point from,
    std::chrono::steady_clock::time_point until);

served_count count_served(load_outcomes const& outcomes);

/// Statuses and reasons of the requests that were not served, and how often they came.
std::map<std::string, int> failures_of(load_outcomes const& outcomes);

/// Number of requests on added routes by which their share is judged.
constexpr std::size_t requests_per_window = 20;

/// The lowest ratio, over all windows of `requests_per_window` requests in a row, of the share
/// served of `observed` to that of `reference` in the same time.
double lowest_relative_share(load_outcomes const& observed, load_outcomes const& reference);

} // namespace auburnweir::tests

#endif
