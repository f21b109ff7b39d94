#ifndef AUBURNWEIR_TRANSPORT_DIRECTORY_SYNC_HPP
#define AUBURNWEIR_TRANSPORT_DIRECTORY_SYNC_HPP

#include "transport/gateway_context.hpp"

#include <mutex>
#include <set>

namespace auburnweir::transport
{

/// Applies what the directory says of backend servers, read here or reported by the holder of the
/// duties, and keeps it for others. Thread-safe; its lock is taken before those of the tables.
class directory_sync
{
public:
    explicit directory_sync(gateway_context& context)
        : context_(context)
    {
    }

    /// Rows that were read from the store. @param whole  servers without a row are gone
    void apply_rows(row_listing const& listing, bool whole);

    /// News from the holder of the duties.
    void apply_update(state::directory_update const& update);

    /// The store failed; for a while, servers that it then drops may list themselves again.
    void record_store_error();

    /// Forgets servers that have not listed themselves again.
    void expire();

    /// True while the holder's updates are fresh enough to do without reading the store.
    bool holder_updates_are_fresh() const;

private:
    void apply_row(stored_row const& row);
    void apply_server(state::listed_server const& listed);
    void drop(state::backend_id const& id);
    void remove_unlisted(std::set<state::backend_id> const& listed);

    gateway_context& context_;
    mutable std::mutex mutex_;
    state::time_point store_failed_at_{};
    state::time_point holder_update_at_{};
};

} // namespace auburnweir::transport

#endif
