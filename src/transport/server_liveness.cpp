#include "transport/server_liveness.hpp"

#include "transport/clock.hpp"

#include <algorithm>

namespace auburnweir::transport
{

asked_server server_liveness::asked(state::listed_server const& server) const
{
    auto const& tables = context_.tables;
    auto const& dialect = context_.ports.dialect;
    asked_server result;
    result.life = {server.id, server.incarnation, server.address};
    result.make_question =
        [&dialect, routes = tables.routes.current(), server](state::request_id const& id)
    {
        auto const* service = routes ? routes->service(server.service) : nullptr;
        return dialect.liveness_question(service, server.id, id);
    };
    result.request_named_by = [&dialect](http_fields const& headers)
    { return state::request_id{dialect.decode_response(0, headers).request}; };
    result.read_answer = [&dialect, server](http_response const& answer)
    { return dialect.read_liveness_answer(server, answer); };
    return result;
}

void server_liveness::prepare(state::listed_server const& server)
{
    worker_.liveness().prepare(asked(server));
}

net::awaitable<bool> server_liveness::has_outlived(
    state::listed_server server, state::time_point requested_at, state::time_point deadline)
{
    using state::event_counter;
    auto target = asked(server);
    auto const until = std::min(deadline, now() + max_wait);
    bool const outlived =
        co_await worker_.liveness().has_outlived(std::move(target), requested_at, until);
    context_.tables.counters.increment(
        outlived ? event_counter::responses_outlived : event_counter::responses_unconfirmed);
    co_return outlived;
}

} // namespace auburnweir::transport
