#ifndef AUBURNWEIR_STATE_VERSION_EVIDENCE_HPP
#define AUBURNWEIR_STATE_VERSION_EVIDENCE_HPP

#include "state/ids.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <tuple>

namespace auburnweir::state
{

/// Number of latency classes. The first one ends at 1 ms; each bound is 1.5 times the one before.
constexpr std::size_t latency_class_count = 32;

/// Class of a latency in seconds.
std::size_t latency_class(double seconds);

/// Upper bound of a class; the last class is unbounded.
double latency_class_bound_seconds(std::size_t latency_class);

/// Outcomes of one version's requests on one route; counts of several instances can be added.
struct outcome_counts
{
    std::uint64_t succeeded = 0;
    std::uint64_t failed = 0;
    /// Number of successful requests by latency class.
    std::array<std::uint64_t, latency_class_count> latency{};

    std::uint64_t total() const { return succeeded + failed; }
    void add(outcome_counts const& other);

    friend bool operator==(outcome_counts const&, outcome_counts const&) = default;
};

/// Identifies the requests that `outcome_counts` cover.
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
