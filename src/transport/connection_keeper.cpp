#include "transport/connection_keeper.hpp"

#include <sys/resource.h>

namespace auburnweir::transport
{

namespace
{

constexpr state::duration check_period = std::chrono::seconds{1};

} // namespace

connection_keeper::connection_keeper(gateway_context& context)
    : context_(context)
{
    coordination::idle_limits limits;
    limits.total =
        std::max<std::size_t>(1, own_descriptor_shares().idle_servers / context.workers.size());
    for (std::size_t i = 0; i < context.workers.size(); ++i)
        context.workers.at(i).http().idle().set_limits(limits);
}

void connection_keeper::start()
{
    subscription_ = context_.timers.every(check_period, [this] { close_useless_connections(); });
}

void connection_keeper::release_descriptors()
{
    context_.tables.counters.increment(state::event_counter::descriptors_exhausted);
    for (std::size_t i = 0; i < context_.workers.size(); ++i)
    {
        auto& w = context_.workers.at(i);
        net::post(
            w.io(),
            [&w]
            {
                w.http().idle().close_all();
                w.liveness().close_idle();
            });
    }
}

void connection_keeper::close_useless_connections()
{
    for (std::size_t i = 0; i < context_.workers.size(); ++i)
    {
        auto& w = context_.workers.at(i);
        net::post(w.io(), [this, &w] { close_useless_connections(w); });
    }
}

void connection_keeper::close_useless_connections(worker& of) const
{
    auto& idle = of.http().idle();
    auto const& settings = context_.settings;
    auto addresses = context_.tables.servers.addresses();
    addresses.merge(context_.tables.relays.addresses());
    idle.close_useless(
        [&](state::endpoint const& to)
        { return addresses.contains(to) || to == settings.store || to == settings.fleet; });
    of.liveness().close_unused();
    auto const closed = idle.take_closed();
    auto& counters = context_.tables.counters;
    using counter = state::event_counter;
    counters.increment(counter::idle_connections_expired, closed.expired);
    counters.increment(counter::idle_connections_evicted, closed.evicted);
    counters.increment(counter::idle_connections_to_gone_servers, closed.unused);
    counters.increment(counter::idle_connections_ended, closed.ended);
    counters.increment(
        counter::connections_full_of_refusals, of.http().take_connections_full_of_refusals());
    counters.increment(counter::liveness_questions, of.liveness().take_questions());
}

coordination::descriptor_shares own_descriptor_shares()
{
    rlimit limit{};
    constexpr rlim_t without_limit = 65536;
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        limit.rlim_cur = without_limit;
    return coordination::share_descriptors(static_cast<std::size_t>(limit.rlim_cur));
}

} // namespace auburnweir::transport
