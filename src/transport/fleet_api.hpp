#ifndef AUBURNWEIR_TRANSPORT_FLEET_API_HPP
#define AUBURNWEIR_TRANSPORT_FLEET_API_HPP

#include "state/instance_report.hpp"
#include "state/lease_record.hpp"
#include "transport/asio.hpp"

namespace auburnweir::transport
{

/// A number of one kind of a service's engines in one failure domain.
struct fleet_order
{
    state::service_id service;
    state::failure_domain_id failure_domain;
    bool reclaimable = false;
    std::int64_t count = 0;

    friend auto operator<=>(fleet_order const&, fleet_order const&) = default;
};

enum class duty_result : std::uint8_t
{
    accepted,
    unavailable, ///< none of the kind is to be had there now
    refused,     ///< nothing was done
    unknown      ///< no answer: it may have been done
};

/// Port: the platform's calls that one instance at a time may make.
class fleet_api
{
public:
    virtual ~fleet_api() = default;

    virtual net::awaitable<duty_result> report_usage(
        state::lease_record lease, state::window_number window, state::usage_counts counts,
        state::duration limit) = 0;

    virtual net::awaitable<duty_result> order(
        state::lease_record lease, fleet_order what, state::duration limit) = 0;
};

} // namespace auburnweir::transport

#endif
