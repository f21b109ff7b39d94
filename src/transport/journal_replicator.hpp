#ifndef AUBURNWEIR_TRANSPORT_JOURNAL_REPLICATOR_HPP
#define AUBURNWEIR_TRANSPORT_JOURNAL_REPLICATOR_HPP

#include "transport/entry_context.hpp"
#include "transport/replica_feed.hpp"

#include <memory>

namespace auburnweir::transport
{

/// Maintains a replica of a journal on an instance in another failure domain.
///
/// Callers receive tokens only after the replica has them, so that an instance that adopts the
/// request cannot contradict tokens that a caller received. If no replica responds in time, the
/// answer continues without one. If the replica reports that another instance drives the request,
/// the journal yields to that instance and copies its tokens.
class journal_replicator : public std::enable_shared_from_this<journal_replicator>
{
public:
    journal_replicator(entry_context& context, worker& home, state::journal_ptr journal);

    /// Withholds new tokens from readers and spawns `run` on the worker.
    void start();

private:
    net::awaitable<void> run();
    net::awaitable<feed_end> feed(state::instance replica);

    /// Copies the owner's journal until the answer ends.
    net::awaitable<void> follow_owner(state::instance owner);
    net::awaitable<std::optional<protocol::journal_ack>> append_at(
        state::instance replica, state::journal_chunk chunk);
    protocol::journal_key key() const;

    entry_context& context_;
    worker& worker_;
    state::journal_ptr journal_;
};

} // namespace auburnweir::transport

#endif
