#include "transport/ledger_store.hpp"

#include "coordination/write_placement.hpp"
#include "transport/clock.hpp"

#include <algorithm>

namespace auburnweir::transport
{

namespace
{

/// Timeout of a local write, as a multiple of the time for one batch.
constexpr int local_write_timeout_factor = 3;

/// Result of a write whose transaction is not complete.
struct pending_result
{
    signal_ptr ready;
    std::optional<state::write_result> result;
};

} // namespace

ledger_store::ledger_store(dependencies d)
    : d_(std::move(d))
    , group_commit_(d_.batch_settings)
    , batch_timer_(d_.home.io())
{
}

net::awaitable<state::write_result> ledger_store::write(worker& from, state::table_write row_write)
{
    d_.counters.increment(state::event_counter::ledger_rows_written);
    auto const shard_owner = coordination::write_shard_owner(row_write.key, d_.instances.live());
    if (!shard_owner || shard_owner->id == d_.self)
        co_return co_await write_in_local_batch(from, std::move(row_write));
    auto const make = [&row_write](protocol::correlation_id number) {
        return protocol::peer_message{protocol::grouped_write{row_write, number}};
    };
    auto const timeout = d_.store_timeout + d_.batch_settings.window;
    auto const message = co_await d_.peers.call(from.io(), *shard_owner, make, timeout);
    if (message)
        if (auto const* result = std::get_if<protocol::grouped_result>(&*message))
            co_return result->result;
    // The message or its response was lost: repeats the conditional write at the table service.
    co_return co_await write_in_local_batch(from, std::move(row_write));
}

net::awaitable<state::read_result> ledger_store::read(worker& from, state::row_key key)
{
    platform_client platform(from.http(), d_.platform, d_.store_timeout);
    co_return co_await platform.read(std::move(key));
}

net::awaitable<state::write_result> ledger_store::write_in_local_batch(
    worker& from, state::table_write row_write)
{
    auto pending = std::make_shared<pending_result>();
    pending->ready = std::make_shared<async_signal>(from.io());
    enqueue_write(
        std::move(row_write),
        [pending](state::write_result result)
        {
            pending->result = std::move(result);
            pending->ready->notify();
        });
    auto const timeout = local_write_timeout_factor * (d_.store_timeout + d_.batch_settings.window);
    bool const in_time = co_await pending->ready->wait(timeout);
    if (!in_time)
        co_return state::write_response_lost{};
    co_return std::move(*pending->result);
}

void ledger_store::enqueue_write(
    state::table_write row_write, std::function<void(state::write_result)> on_result)
{
    {
        state::ranked_lock lock(mutex_);
        coordination::write_ticket const ticket{++last_ticket_};
        result_handlers_[ticket.count()] = std::move(on_result);
        group_commit_.add({ticket, std::move(row_write)}, now());
    }
    net::post(d_.home.io(), [this] { run_due_batches(); });
}

void ledger_store::run_due_batches()
{
    std::optional<state::time_point> next;
    for (;;)
    {
        std::optional<coordination::group_commit::batch> batch;
        {
            state::ranked_lock lock(mutex_);
            batch = group_commit_.next_batch(now());
            next = group_commit_.due_at();
        }
        if (!batch)
            break;
        net::co_spawn(d_.home.io(), run_batch(std::move(*batch)), net::detached);
    }
    if (!next)
        return;
    auto const wait = std::max(*next - now(), state::duration{0});
    batch_timer_.expires_after(wait);
    batch_timer_.async_wait(
        [this](error_code error)
        {
            if (!error)
                run_due_batches();
        });
}

net::awaitable<void> ledger_store::run_batch(coordination::group_commit::batch batch)
{
    platform_client platform(d_.home.http(), d_.platform, d_.store_timeout);
    auto remaining = batch;
    while (!remaining.empty())
    {
        std::vector<state::table_write> writes;
        for (auto const& p : remaining)
            writes.push_back(p.write);
        d_.counters.increment(state::event_counter::ledger_writes);
        auto results = co_await platform.transact(std::move(writes));
        bool const conflict = std::any_of(
            results.begin(), results.end(),
            [](state::write_result const& r)
            { return std::holds_alternative<state::write_conflict>(r); });
        coordination::group_commit::batch retries;
        for (std::size_t i = 0; i < remaining.size(); ++i)
        {
            bool const blocked_by_conflict =
                conflict && std::holds_alternative<state::write_refused>(results[i]);
            if (blocked_by_conflict)
                retries.push_back(remaining[i]);
            else
                deliver(remaining[i].ticket, std::move(results[i]));
        }
        remaining = std::move(retries);
    }
    {
        state::ranked_lock lock(mutex_);
        group_commit_.mark_completed(batch);
    }
    run_due_batches();
}

void ledger_store::deliver(coordination::write_ticket ticket, state::write_result result)
{
    std::function<void(state::write_result)> on_result;
    {
        state::ranked_lock lock(mutex_);
        auto const it = result_handlers_.find(ticket.count());
        if (it == result_handlers_.end())
            return;
        on_result = std::move(it->second);
        result_handlers_.erase(it);
    }
    on_result(std::move(result));
}

} // namespace auburnweir::transport
