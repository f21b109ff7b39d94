#ifndef AUBURNWEIR_STATE_INSTANCE_REPORT_HPP
#define AUBURNWEIR_STATE_INSTANCE_REPORT_HPP

#include "state/ids.hpp"
#include "state/time.hpp"

#include <map>

namespace auburnweir::state
{

/// Number of a usage window; window k begins k window lengths after the epoch, in true time.
using window_number = quantity<struct window_unit, std::int64_t>;

/// Requests of each organisation that began to run in one window.
using usage_counts = std::map<organisation_id, std::int64_t>;

/// Requests in progress at one service's backend servers in one failure domain.
struct service_load
{
    std::int64_t running = 0;       ///< sent and not ended, by this instance
    double requests_per_second = 0; ///< sent lately, by this instance
    double work_per_second = 0;     ///< prompt tokens to be read, sent lately, by this instance
    std::int64_t refused = 0;       ///< turned away for want of room, since the process began

    friend bool operator==(service_load const&, service_load const&) = default;
};

/// What one instance tells the others, as a row of the store.
struct instance_report
{
    instance_id id;
    incarnation life;
    failure_domain_id failure_domain;
    std::uint64_t sequence = 0;
    std::chrono::milliseconds wall_offset{0}; ///< own wall clock less the store's steady clock
    std::chrono::milliseconds true_time{0};   ///< estimate of true time at which it was written
    bool stopping = false;
    std::map<organisation_id, double> demand; ///< units asked for a second, each organisation
    std::map<window_number, usage_counts> usage;
    std::map<service_id, service_load> loads;

    friend bool operator==(instance_report const&, instance_report const&) = default;
};

} // namespace auburnweir::state

#endif
