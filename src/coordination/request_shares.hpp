#ifndef AUBURNWEIR_COORDINATION_REQUEST_SHARES_HPP
#define AUBURNWEIR_COORDINATION_REQUEST_SHARES_HPP

#include "state/instance_report.hpp"
#include "state/lock_rank.hpp"
#include "state/server_pool.hpp"
#include "state/traffic_shares.hpp"

#include <optional>

namespace auburnweir::coordination
{

/// Divides the rates of limited servers among the instances by the requests that each of them gets.
///
/// Answers the pattern of servers in need that take a few requests a second from all instances
/// together, while callers are spread unevenly over instances: equal parts would leave most of the
/// rate unused. Instances that know of a limited server report their number of requests; the holder
/// of the duties divides. Thread-safe; takes `lock_rank::request_shares`. Never reads a clock.
class request_shares
{
public:
    /// Records the number of requests that an instance has accepted since its process began.
    void record(
        state::instance_incarnation const& instance, state::failure_domain_id const& domain,
        std::uint64_t requests, state::time_point now);

    /// The shares of an instance; null until the instances that know of limits have reported.
    std::optional<state::traffic_shares> shares_of(
        state::instance_id const& instance, state::time_point now);

private:
    struct traffic
    {
        state::incarnation_number incarnation;
        state::failure_domain_id domain;
        std::uint64_t requests = 0;
        double rate = 0; ///< requests a second, exponentially smoothed
        state::time_point first_at{};
        state::time_point last_at{};
    };

    void remove_silent(state::time_point now);

    mutable state::ranked_mutex mutex_{state::lock_rank::request_shares};
    std::map<state::instance_id, traffic> instances_;
    std::optional<state::time_point> counting_since_;
};

/// The shares of servers' limits that an instance may use: most of a limit is for the instances in
/// the server's failure domain, where most of its requests come from.
state::send_shares send_shares_from(
    state::traffic_shares const& traffic, state::failure_domain_id const& own_domain);

/// The shares until the traffic is known: equal parts.
state::send_shares equal_send_shares(std::uint64_t instance_count);

} // namespace auburnweir::coordination

#endif
