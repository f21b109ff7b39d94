#ifndef AUBURNWEIR_TRANSPORT_LEDGER_STORE_HPP
#define AUBURNWEIR_TRANSPORT_LEDGER_STORE_HPP

#include "coordination/group_commit.hpp"
#include "state/counters.hpp"
#include "state/instance_table.hpp"
#include "transport/peer_links.hpp"
#include "transport/platform_client.hpp"
#include "transport/worker_pool.hpp"

#include <functional>
#include <memory>
#include <unordered_map>

namespace auburnweir::transport
{

/// Conditional writes to the table service, batched into transactions across instances.
///
/// Each row's shard has one owner instance that batches its writes. A write is sent to the owner
/// over the peer link; if the owner is not reachable, this instance writes to the table service
/// itself. A wrong choice of owner costs an additional write but is safe, since each write is
/// conditional. Thread-safe; takes `lock_rank::group_commit`.
class ledger_store
{
public:
    struct dependencies
    {
        worker& home; ///< runs the transactions
        state::instance_id self;
        state::instance_table& instances;
        peer_links& peers;
        state::counters& counters;
        state::endpoint platform;
        state::duration store_timeout;
        coordination::group_commit_settings batch_settings;
    };

    explicit ledger_store(dependencies d);

    /// Writes a row from a coroutine of any worker; resumes on that worker.
    net::awaitable<state::write_result> write(worker& from, state::table_write row_write);

    net::awaitable<state::read_result> read(worker& from, state::row_key key);

    /// Adds a write to this instance's batches; it is not forwarded. `on_result` runs on
    /// `dependencies::home`.
    void enqueue_write(
        state::table_write row_write, std::function<void(state::write_result)> on_result);

private:
    net::awaitable<state::write_result> write_in_local_batch(
        worker& from, state::table_write row_write);
    void run_due_batches();
    net::awaitable<void> run_batch(coordination::group_commit::batch batch);
    void deliver(coordination::write_ticket ticket, state::write_result result);

    dependencies d_;
    state::ranked_mutex mutex_{state::lock_rank::group_commit};
    coordination::group_commit group_commit_;
    std::unordered_map<std::uint64_t, std::function<void(state::write_result)>> result_handlers_;
    std::uint64_t last_ticket_ = 0;
    net::steady_timer batch_timer_;
};

} // namespace auburnweir::transport

#endif
