#include "transport/evacuation_recorder.hpp"

#include "transport/log.hpp"

namespace auburnweir::transport
{

void record_evacuations(
    gateway_context& context, state::evacuation_change const& change, std::string_view source)
{
    auto const record = [&](std::vector<state::failure_domain_id> const& domains, log_event event,
                            state::event_counter counter)
    {
        for (auto const& domain : domains)
        {
            context.tables.counters.increment(counter);
            log(event, {{"failure_domain", domain.str()}, {"source", std::string{source}}});
        }
    };
    record(change.began, log_event::domain_evacuated, state::event_counter::domains_evacuated);
    record(change.ended, log_event::domain_returned, state::event_counter::domains_returned);
}

} // namespace auburnweir::transport
