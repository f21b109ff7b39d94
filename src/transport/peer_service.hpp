#ifndef AUBURNWEIR_TRANSPORT_PEER_SERVICE_HPP
#define AUBURNWEIR_TRANSPORT_PEER_SERVICE_HPP

#include "transport/entry_context.hpp"

#include <map>
#include <memory>
#include <vector>

namespace auburnweir::transport
{

/// Answers other entry instances, holds replicas of their journals, and finishes the requests of
/// those that are gone.
///
/// `receive` runs on the links' thread, `check_owners` on a worker.
class peer_service
{
public:
    explicit peer_service(entry_context& context);

    void receive(
        state::instance_id const& from, connection_number via, protocol::peer_message message);

    /// Asks owners of unfinished replicas whether they live; adopts the requests of those that
    /// do not answer. Call it regularly, on the home worker.
    void check_owners();

    /// Hands this instance's unfinished requests to the holders of their replicas.
    void hand_over();

private:
    void on_open(state::instance_id const& from, protocol::journal_open& message);
    void on_batch(
        state::instance_id const& from, connection_number via,
        protocol::journal_batch const& message);
    protocol::append_ack on_append(
        state::instance_id const& from, protocol::journal_append const& append);
    void on_read(connection_number via, protocol::journal_read const& message);
    void on_grouped_write(connection_number via, protocol::grouped_write& message);
    net::awaitable<void> probe_owner(state::instance_id owner);
    net::awaitable<bool> responds(state::instance owner);
    void adopt_journals_of(state::instance_id const& owner);
    void adopt(state::journal_ptr const& journal);

    entry_context& context_;
    state::ranked_mutex mutex_{state::lock_rank::replica_owners};
    std::map<state::instance_id, bool> owners_; ///< of replicas; true while being probed
};

} // namespace auburnweir::transport

#endif
