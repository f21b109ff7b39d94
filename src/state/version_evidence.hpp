#ifndef AUBURNWEIR_STATE_VERSION_EVIDENCE_HPP
#define AUBURNWEIR_STATE_VERSION_EVIDENCE_HPP

#include "state/ids.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <tuple>

namespace auburnweir::state
{

/// Upper bounds of the latency classes, each 1.5 times the one before, from 1 ms on.
constexpr std::size_t latency_class_count = 32;

/// Class of a latency in seconds.
std::size_t latency_class(double seconds);

/// Upper bound of a class; the last class has none.
double latency_class_bound_seconds(std::size_t latency_class);

/// Counts of one version on one route; sums of counts of several instances are counts again.
struct outcome_counts
{
    std::uint64_t succeeded = 0;
    std::uint64_t failed = 0;
    std::array<std::uint64_t, latency_class_count> latency{}; ///< of the succeeded ones

    std::uint64_t total() const { return succeeded + failed; }
    void add(outcome_counts const& other);

    friend bool operator==(outcome_counts const&, outcome_counts const&) = default;
};

/// What counts belong to.
struct evidence_key
{
    service_id service;
    version_id version;
    route_id route;

    friend auto operator<=>(evidence_key const&, evidence_key const&) = default;
};

using version_evidence = std::map<evidence_key, outcome_counts>;

} // namespace auburnweir::state

#endif
