#include "transport/store_observer.hpp"

#include "transport/log.hpp"

namespace auburnweir::transport
{

namespace
{

template <class Response>
bool observe(gateway_context& context, Response const& response)
{
    using observation = state::store_eras::observation;
    auto const seen =
        context.tables.store_eras.observe({response.era, response.version}, response.received_at);
    if (seen == observation::outdated)
        return false;
    context.clock.observe(response.store_time, response.requested_at, response.received_at);
    if (seen == observation::current)
        return true;
    context.tables.counters.increment(state::event_counter::store_restores_seen);
    log(log_event::store_restored,
        {{"era", std::to_string(response.era.count())},
         {"version", std::to_string(response.version.count())},
         {"store_time_ms", std::to_string(response.store_time.count())}});
    return true;
}

} // namespace

bool observe_store(gateway_context& context, row_listing const& response)
{
    return observe(context, response);
}

bool observe_store(gateway_context& context, write_applied const& response)
{
    return observe(context, response);
}

} // namespace auburnweir::transport
