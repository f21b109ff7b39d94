#ifndef AUBURNWEIR_COORDINATION_REQUEST_ADMISSION_HPP
#define AUBURNWEIR_COORDINATION_REQUEST_ADMISSION_HPP

#include "coordination/shared_quota.hpp"
#include "state/forwarded_request.hpp"
#include "state/reasons.hpp"
#include "state/route_set.hpp"

#include <string_view>
#include <variant>

namespace auburnweir::coordination
{

/// How fresh a configuration has to be known to be for a decision.
struct freshness_bounds
{
    state::duration configuration{0}; ///< for answers that a newer version could forbid
    state::duration revocation{0};    ///< for requests whose key a newer version could withdraw
};

/// A request that arrived, and the configuration that decides on it.
struct arrived_request
{
    state::forwarded_request const& head;
    std::string_view host;
    std::string_view target; ///< path and query
    state::route_set const& routes;
    state::duration routes_age{0}; ///< since the store was asked and knew nothing newer
    state::time_point at{};
};

/// The request may be sent. The pointers are into the configuration.
struct request_admitted
{
    state::route const* route = nullptr;
    state::service_id service;
    state::organisation_quota const* organisation = nullptr; ///< null without a key
    double quota_cost = 0; ///< taken from the organisation's limit
    state::time_point deadline{};
};

struct request_refused
{
    state::refusal_reason reason;
    state::duration retry_after{0}; ///< zero: coming back does not help
    state::route const* route = nullptr;
};

using request_admission = std::variant<request_admitted, request_refused>;

/// Finds a request's route and organisation and takes its cost from the organisation's limit.
request_admission admit_request(
    arrived_request const& request, freshness_bounds const& bounds, shared_quota& quotas);

} // namespace auburnweir::coordination

#endif
