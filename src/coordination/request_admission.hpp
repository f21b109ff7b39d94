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

/// Maximum confirmation age of the configuration for a decision that depends on it.
struct freshness_bounds
{
    state::duration configuration{0}; ///< for responses that a newer version could forbid
    state::duration revocation{0};    ///< for requests whose key a newer version could revoke
};

/// A received request and the configuration that it is decided by.
struct arrived_request
{
    state::forwarded_request const& header;
    std::string_view host;
    std::string_view target; ///< path and query
    state::route_set const& routes;
    /// Time since the store last confirmed that no newer configuration exists.
    state::duration confirmation_age{0};
    state::time_point arrived_at{};
};

/// The request may be sent to a backend server. The pointers refer into the configuration.
struct request_admitted
{
    state::route const* route = nullptr;
    state::service_id service;
    state::organisation_quota const* organisation = nullptr; ///< null without a key
    double quota_cost = 0; ///< acquired from the organisation's quota
    state::time_point deadline{};
};

struct request_refused
{
    state::refusal_reason reason;
    state::duration retry_after{0}; ///< zero: a retry does not help
    state::route const* route = nullptr;
};

using request_admission = std::variant<request_admitted, request_refused>;

/// Finds a request's route and organisation and acquires its cost from the organisation's quota.
request_admission admit_request(
    arrived_request const& request, freshness_bounds const& bounds, shared_quota& quotas);

} // namespace auburnweir::coordination

#endif
