#ifndef AUBURNWEIR_STATE_INSTANCE_REPORT_HPP
#define AUBURNWEIR_STATE_INSTANCE_REPORT_HPP

#include "state/configuration.hpp"
#include "state/directory_log.hpp"
#include "state/ids.hpp"
#include "state/time.hpp"
#include "state/usage_table.hpp"

#include <map>
#include <optional>

namespace auburnweir::state
{

/// What one instance sends to one service's backend servers.
struct service_load
{
    std::int64_t running = 0;       ///< sent and not ended
    std::int64_t requests = 0;      ///< sent since the process began
    std::int64_t prompt_tokens = 0; ///< of those requests
    std::int64_t output_tokens = 0; ///< most that those requests may get
    std::int64_t refused = 0;       ///< turned away for want of room since the process began

    friend bool operator==(service_load const&, service_load const&) = default;
};

/// Units of each organisation's limit that an instance granted since its process began.
using consumed_units = std::map<organisation_id, double>;

/// The slower part of a report, which does not come with each.
struct instance_details
{
    std::chrono::milliseconds wall_offset{0};   ///< own wall clock less the store's steady clock
    std::chrono::milliseconds counted_until{0}; ///< true time up to which `usage` is complete
    usage_by_window usage;
    std::map<service_id, service_load> loads;

    friend bool operator==(instance_details const&, instance_details const&) = default;
};

/// What one instance tells another.
struct instance_report
{
    instance_id id;
    incarnation life;
    failure_domain_id failure_domain;
    endpoint peer_address;
    std::uint64_t sequence = 0; ///< grows with each report of a life
    bool stopping = false;
    directory_version directory{0}; ///< news of the directory that it has; 0: none
    incarnation directory_from{0};  ///< life of the holder that counts them
    consumed_units consumed;
    std::optional<instance_details> details;

    friend bool operator==(instance_report const&, instance_report const&) = default;
};

} // namespace auburnweir::state

#endif
