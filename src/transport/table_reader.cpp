#include "transport/table_reader.hpp"

#include "transport/store_observer.hpp"

#include <algorithm>

namespace auburnweir::transport
{

net::awaitable<store_result<table_reading>> table_reader::read(
    state::duration wait, state::duration timeout)
{
    if (reads_whole_table_)
        co_return co_await read_whole_table(timeout);
    auto const since = position_;
    auto changes =
        co_await context_.ports.store.read_changes(table_, since.version, wait, wait + timeout);
    bool const is_dropped = !changes && changes.error() == store_error::history_dropped;
    if (!is_dropped && !changes)
        co_return changes.error();
    if (!is_dropped && !observe_store(context_, changes.value()))
        co_return store_error::outdated;
    // The versions of another era are numbers of other changes.
    if (is_dropped || changes.value().era != since.era)
    {
        reads_whole_table_ = true;
        co_return co_await read_whole_table(timeout);
    }
    table_reading reading{std::move(changes.value()), false};
    co_return std::move(reading);
}

net::awaitable<store_result<table_reading>> table_reader::read_whole_table(state::duration timeout)
{
    auto rows = co_await context_.ports.store.read_table(table_, timeout);
    if (!rows)
        co_return rows.error();
    if (!observe_store(context_, rows.value()))
        co_return store_error::outdated;
    table_reading reading{std::move(rows.value()), true};
    co_return std::move(reading);
}

void table_reader::record_applied(table_reading const& reading)
{
    state::store_position const read{reading.listing.era, reading.listing.version};
    position_ = std::max(position_, read);
    reads_whole_table_ = reads_whole_table_ && !reading.is_whole_table;
}

} // namespace auburnweir::transport
