#ifndef AUBURNWEIR_TRANSPORT_PEER_SERVICE_HPP
#define AUBURNWEIR_TRANSPORT_PEER_SERVICE_HPP

#include "transport/entry_context.hpp"

#include <map>
#include <memory>
#include <vector>

namespace auburnweir::transport
{

/// Handles messages of other entry instances, stores replicas of their journals, and adopts the
/// unfinished requests of instances that are gone.
///
/// `receive` runs on the links' thread, `probe_owners` on a worker.
class peer_service
{
public:
    explicit peer_service(entry_context& context);

    void receive(
        state::instance_id const& from, connection_number via, protocol::peer_message message);

    /// Pings the owners of unfinished replicas and adopts the requests of those that do not
    /// respond. Call it periodically, on worker 0.
    void probe_owners();

    /// Hands this instance's unfinished requests over to the instances that have their replicas.
    void hand_over_requests();

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
    std::map<state::instance_id, bool> owners_; ///< owners of replicas; true while probed
};

} // namespace auburnweir::transport

#endif
