#ifndef AUBURNWEIR_TRANSPORT_REACH_PROBER_HPP
#define AUBURNWEIR_TRANSPORT_REACH_PROBER_HPP

#include "transport/gateway_context.hpp"

namespace auburnweir::transport
{

/// Finds out which services this instance reaches: opens connections to servers when links to them
/// have failed, and from time to time while none is reached. Sends nothing on them.
class reach_prober
{
public:
    explicit reach_prober(gateway_context& context)
        : context_(context)
    {
    }

    void start();

private:
    void probe_due_services();
    net::awaitable<void> probe(coordination::reach_probe due);
    std::vector<state::listed_server> targets(coordination::reach_probe const& due);
    void apply(
        state::service_id const& service, bool connected, std::set<state::backend_id> const& tried);

    gateway_context& context_;
    timer_subscription subscription_;
};

} // namespace auburnweir::transport

#endif
