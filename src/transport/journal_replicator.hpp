#ifndef AUBURNWEIR_TRANSPORT_JOURNAL_REPLICATOR_HPP
#define AUBURNWEIR_TRANSPORT_JOURNAL_REPLICATOR_HPP

#include "transport/entry_context.hpp"
#include "transport/replica_feed.hpp"

#include <memory>

namespace auburnweir::transport
{

/// Keeps a replica of one journal on an instance in another failure domain.
///
/// Callers see tokens only after the replica has them, so that whoever takes the request over
/// cannot contradict what a caller saw. When no replica answers in time, the answer goes on
/// without one. When the replica reports that another instance drives the request, the journal
/// yields to that instance and follows it.
class journal_replicator : public std::enable_shared_from_this<journal_replicator>
{
public:
    journal_replicator(entry_context& context, worker& home, state::journal_ptr journal);

    /// Holds the journal back and starts on its worker.
    void start();

private:
    net::awaitable<void> run();
    net::awaitable<feed_end> feed(state::instance replica);
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
