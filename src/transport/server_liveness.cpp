#include "transport/server_liveness.hpp"

#include "transport/clock.hpp"

#include <algorithm>

namespace auburnweir::transport
{

std::optional<asked_server> server_liveness::asked(state::listed_server const& server) const
{
    auto const& dialect = context_.ports.dialect;
    auto const routes = context_.tables.routes.current();
    auto const* service = routes ? routes->service(server.service) : nullptr;
    if (!service || !dialect.liveness_question(*service, server.id, state::request_id{}))
        return std::nullopt;
    asked_server result;
    result.life = {server.id, server.incarnation, server.address};
    result.make_question = [&dialect, service = *service, id = server.id](auto const& question)
    { return *dialect.liveness_question(service, id, question); };
    result.request_named_by = [&dialect](http_fields const& headers)
    { return state::request_id{dialect.decode_response(0, headers).request}; };
    result.read_answer = [&dialect, server](http_response const& answer)
    { return dialect.read_liveness_answer(server, answer); };
    return result;
}

void server_liveness::prepare(state::listed_server const& server)
{
    if (auto const target = asked(server))
        worker_.liveness().prepare(*target);
}

net::awaitable<bool> server_liveness::has_outlived(
    state::listed_server server, state::time_point requested_at, state::time_point deadline)
{
    using state::event_counter;
    auto target = asked(server);
    auto const until = std::min(deadline, now() + max_wait);
    bool outlived = false;
    if (target)
        outlived =
            co_await worker_.liveness().has_outlived(std::move(*target), requested_at, until);
    context_.tables.counters.increment(
        outlived ? event_counter::responses_outlived : event_counter::responses_unconfirmed);
    co_return outlived;
}

} // namespace auburnweir::transport
