#ifndef AUBURNWEIR_TRANSPORT_RELAY_DIRECTORY_HPP
#define AUBURNWEIR_TRANSPORT_RELAY_DIRECTORY_HPP

#include "coordination/relay_assignment.hpp"
#include "transport/gateway_context.hpp"

#include <mutex>
#include <set>

namespace auburnweir::transport
{

/// What reports say of the services that instances reach, and which instances relay for whom.
///
/// Thread-safe; no other lock is taken while its lock is held.
class relay_directory
{
public:
    explicit relay_directory(gateway_context& context)
        : context_(context)
    {
    }

    /// Adds to a report what this instance relays and reaches.
    void add_to(state::instance_report& report);

    /// Whether this instance has lost or regained a service since its last report.
    bool has_unreported_change() const;

    /// As the holder of the duties: learns which instances could relay, and assigns peers to this
    /// one.
    /// @param max_silence  of an instance that may be asked
    void update_as_holder(
        std::vector<state::reporting_instance> const& members, state::duration max_silence);

    /// As the holder: the peers of an instance that reports services that it does not reach.
    state::relay_peers relays_for(state::instance_report const& report) const;

private:
    /// Port at which this instance relays requests; 0: none.
    std::uint16_t own_port() const;
    std::set<state::service_id> unreachable_services() const;
    state::relay_peers assigned(
        state::instance_id const& instance, state::failure_domain_id const& domain,
        std::set<state::service_id> const& unreachable) const;

    gateway_context& context_;
    mutable std::mutex mutex_;
    std::set<state::service_id> reported_;                  ///< as unreachable, last
    std::vector<coordination::relay_candidate> candidates_; ///< maintained by the holder
};

} // namespace auburnweir::transport

#endif
