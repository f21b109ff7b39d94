#include "transport/ledger_store.hpp"

#include "coordination/write_placement.hpp"
#include "transport/clock.hpp"

#include <algorithm>

namespace auburnweir::transport
{

namespace
{

/// Result of a write that waits for its transaction.
struct pending_result
{
    signal_ptr ready;
    std::optional<state::write_result> result;
};

} // namespace

ledger_store::ledger_store(dependencies d)
    : d_(std::move(d))
    , grouping_(d_.grouping)
    , due_(d_.home.io())
{
}

net::awaitable<state::write_result> ledger_store::write(worker& from, state::table_write what)
{
    d_.counters.increment(state::event_counter::ledger_rows_written);
    auto const gatherer = coordination::write_shard_owner(what.key, d_.instances.live());
    if (!gatherer || gatherer->id == d_.self)
        co_return co_await write_locally(from, std::move(what));
    auto const make = [&what](protocol::correlation_id number) {
        return protocol::peer_message{protocol::grouped_write{what, number}};
    };
    auto const limit = d_.store_timeout + d_.grouping.window;
    auto const answer = co_await d_.peers.ask(from.io(), *gatherer, make, limit);
    if (answer)
        if (auto const* result = std::get_if<protocol::grouped_result>(&*answer))
            co_return result->result;
    // Lost on the way: the same conditional write again, straight to the table service.
    co_return co_await write_locally(from, std::move(what));
}

net::awaitable<state::read_result> ledger_store::read(worker& from, state::row_key key)
{
    platform_client platform(from.http(), d_.platform, d_.store_timeout);
    co_return co_await platform.read(std::move(key));
}

net::awaitable<state::write_result> ledger_store::write_locally(
    worker& from, state::table_write what)
{
    auto pending = std::make_shared<pending_result>();
    pending->ready = std::make_shared<async_signal>(from.io());
    write_here(
        std::move(what),
        [pending](state::write_result result)
        {
            pending->result = std::move(result);
            pending->ready->notify();
        });
    auto const limit = 3 * (d_.store_timeout + d_.grouping.window);
    bool const in_time = co_await pending->ready->wait(limit);
    if (!in_time)
        co_return state::write_response_lost{};
    co_return std::move(*pending->result);
}

void ledger_store::write_here(
    state::table_write what, std::function<void(state::write_result)> on_result)
{
    {
        state::ranked_lock lock(mutex_);
        coordination::write_ticket const ticket{++last_ticket_};
        waiting_[ticket.count()] = std::move(on_result);
        grouping_.add({ticket, std::move(what)}, now());
    }
    net::post(d_.home.io(), [this] { pump(); });
}

void ledger_store::pump()
{
    std::optional<state::time_point> next;
    for (;;)
    {
        std::optional<coordination::group_commit::batch> batch;
        {
            state::ranked_lock lock(mutex_);
            batch = grouping_.next_batch(now());
            next = grouping_.due_at();
        }
        if (!batch)
            break;
        net::co_spawn(d_.home.io(), run(std::move(*batch)), net::detached);
    }
    if (!next)
        return;
    auto const wait = std::max(*next - now(), state::duration{0});
    due_.expires_after(wait);
    due_.async_wait(
        [this](error_code fault)
        {
            if (!fault)
                pump();
        });
}

net::awaitable<void> ledger_store::run(coordination::group_commit::batch batch)
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
        coordination::group_commit::batch again;
        for (std::size_t i = 0; i < remaining.size(); ++i)
        {
            bool const held_up =
                conflict && std::holds_alternative<state::write_refused>(results[i]);
            if (held_up)
                again.push_back(remaining[i]);
            else
                deliver(remaining[i].ticket, std::move(results[i]));
        }
        remaining = std::move(again);
    }
    {
        state::ranked_lock lock(mutex_);
        grouping_.mark_completed(batch);
    }
    pump();
}

void ledger_store::deliver(coordination::write_ticket ticket, state::write_result result)
{
    std::function<void(state::write_result)> on_result;
    {
        state::ranked_lock lock(mutex_);
        auto const it = waiting_.find(ticket.count());
        if (it == waiting_.end())
            return;
        on_result = std::move(it->second);
        waiting_.erase(it);
    }
    on_result(std::move(result));
}

} // namespace auburnweir::transport
