#ifndef AUBURNWEIR_PROTOCOL_GATEWAY_STATUS_HPP
#define AUBURNWEIR_PROTOCOL_GATEWAY_STATUS_HPP

#include "state/instance_report_table.hpp"
#include "state/relay_peer.hpp"
#include "state/route_set.hpp"
#include "state/segment_evidence.hpp"
#include "state/server_table.hpp"

#include <string>
#include <vector>

namespace auburnweir::protocol
{

/// State of a gateway as its `/status` endpoint shows it to operators.
struct gateway_status
{
    state::instance_id id;
    state::incarnation_number incarnation;
    state::failure_domain_id failure_domain;
    bool ready = false;
    bool stopping = false;
    bool holds_duties = false;
    state::route_set_ptr routes; ///< null until a first configuration is applied
    state::duration routes_age{0};
    state::instance_id duties_holder;                 ///< empty when unknown
    state::instance_rank rank;                        ///< among the known instances
    std::vector<state::reporting_instance> instances; ///< the others; only set on the duty holder
    std::vector<state::server_view> servers;
    std::map<state::service_id, state::time_point> unreachable; ///< services, and since when
    state::relay_peers relays;                                  ///< that relay for this instance
    std::vector<state::segment_verdict> quarantined_segments;
    state::time_point now{};
};

/// Encodes the status as one JSON object; docs/OPERATIONS.md lists its members and their units.
std::string encode_status(gateway_status const& status);

} // namespace auburnweir::protocol

#endif
