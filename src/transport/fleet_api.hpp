#ifndef AUBURNWEIR_TRANSPORT_FLEET_API_HPP
#define AUBURNWEIR_TRANSPORT_FLEET_API_HPP

#include "state/fleet.hpp"
#include "state/instance_report.hpp"
#include "state/lease_record.hpp"
#include "transport/asio.hpp"

namespace auburnweir::transport
{

enum class duty_result : std::uint8_t
{
    accepted,
    unavailable, ///< the ordered engines are not available there now
    refused,     ///< nothing was done
    unknown      ///< no response: it may have been done
};

std::string_view name_of(duty_result result);

/// Port: the platform's calls that only the holder of the duties makes.
class fleet_api
{
public:
    virtual ~fleet_api() = default;

    virtual net::awaitable<duty_result> report_usage(
        state::lease_record lease, state::window_number window, state::usage_counts counts,
        state::duration timeout) = 0;

    virtual net::awaitable<duty_result> order_engines(
        state::lease_record lease, state::fleet_group group, std::int64_t count,
        state::duration timeout) = 0;
};

} // namespace auburnweir::transport

#endif
