#include "transport/instance_registry.hpp"

#include "transport/async_signal.hpp"

#include <algorithm>
#include <random>

namespace auburnweir::transport
{

namespace
{

constexpr char const* instance_table_name = "auburnweir-instances";

constexpr state::duration store_retry_delay = std::chrono::milliseconds{300};

/// All instances write their rows again within this time after the store came back from a copy.
constexpr state::duration max_renewal_jitter = std::chrono::seconds{2};

} // namespace

net::awaitable<void> instance_registry::register_instance()
{
    conditional_write registration;
    registration.table = table_name{instance_table_name};
    registration.key = context_.settings.id.str();
    registration.value = context_.settings.failure_domain.str();
    for (;;)
    {
        auto const result =
            co_await context_.ports.store.write(registration, context_.settings.store_timeout);
        if (auto const* applied = std::get_if<write_applied>(&result))
        {
            registered_in_ = applied->era;
            co_return;
        }
        co_await sleep_for(context_.workers.at(0).io(), store_retry_delay);
    }
}

void instance_registry::renew_registration()
{
    bool const is_lost = registered_in_ && *registered_in_ < context_.tables.store_eras.current();
    if (!is_lost)
        return;
    registered_in_.reset();
    net::co_spawn(context_.workers.at(0).io(), register_after_jitter(), net::detached);
}

net::awaitable<void> instance_registry::register_after_jitter()
{
    std::uniform_int_distribution<std::int64_t> jitter(0, max_renewal_jitter.count());
    state::duration const delay{jitter(context_.workers.at(0).random())};
    co_await sleep_for(context_.workers.at(0).io(), delay);
    co_await register_instance();
}

net::awaitable<state::instance_rank> instance_registry::rank_among_instances()
{
    table_name const table{instance_table_name};
    for (;;)
    {
        auto const listing =
            co_await context_.ports.store.read_table(table, context_.settings.store_timeout);
        if (listing)
        {
            auto const& rows = listing.value().rows;
            auto const before = std::ranges::count_if(
                rows, [&](stored_row const& row) { return row.key < context_.settings.id.str(); });
            co_return state::instance_rank{static_cast<std::uint64_t>(before), rows.size()};
        }
        co_await sleep_for(context_.workers.at(0).io(), store_retry_delay);
    }
}

} // namespace auburnweir::transport
