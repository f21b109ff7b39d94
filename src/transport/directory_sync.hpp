#ifndef AUBURNWEIR_TRANSPORT_DIRECTORY_SYNC_HPP
#define AUBURNWEIR_TRANSPORT_DIRECTORY_SYNC_HPP

#include "transport/gateway_context.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <set>

namespace auburnweir::transport
{

/// Applies the directory of backend servers, read from the store or received from the holder of
/// the duties, to the tables, and records it in the directory log for other instances.
/// Thread-safe; its lock is taken before those of the tables.
class directory_sync
{
public:
    explicit directory_sync(gateway_context& context)
        : context_(context)
    {
    }

    /// Applies rows read from the store, unless the holder's directory is more recent.
    /// @param is_full_listing  servers without a row are removed
    /// @return whether they were applied
    bool apply_rows(row_listing const& listing, bool is_full_listing);

    /// Applies an update from the holder of the duties, unless this instance has read the store
    /// after the holder: the update could list servers again that have left since.
    /// @param read_at  when the holder read the directory, at the earliest
    /// @return whether it was applied
    bool apply_update(state::directory_update const& update, state::time_point read_at);

    /// Records that the holder has changes that it does not send: until its next update this
    /// instance reads the store.
    void discard_holder_update();

    /// Records a failed read. For a while, servers that the store then no longer lists become
    /// missing instead of removed, so that they can list themselves again.
    void record_store_error();

    /// Removes missing servers that have not listed themselves again in time.
    void expire();

    /// Whether the holder's updates are recent enough to replace reads of the store.
    bool holder_updates_are_fresh() const;

private:
    /// Whether rows of the copy that the store came back from may list servers that have left
    /// since.
    bool copies_may_list_gone_servers() const;
    /// Whether a row may be such a copy and lists a server that this instance does not know.
    bool may_list_gone_server(stored_row const& row) const;
    void apply_row(stored_row const& row);
    /// Adapts what a row says of its server's cold time, which counts from the row's writing: when
    /// the same version is read again, that time has passed in part.
    void count_down_cold_time(state::listed_server& listed, state::row_version version);
    void apply_server(state::listed_server const& listed);
    void remove_server(state::backend_id const& id);
    void remove_unlisted(std::set<state::backend_id> const& listed);

    gateway_context& context_;
    mutable std::mutex mutex_;
    std::optional<state::store_era> era_; ///< of the last listing
    /// Rows that are not applied until the store has had time to remove those of gone servers.
    std::map<state::backend_id, stored_row> copied_rows_;
    /// A version of a row, and when this instance first read it.
    struct read_row
    {
        state::row_version version;
        state::time_point at{};
    };
    std::map<state::backend_id, read_row> cold_rows_; ///< rows that name a cold time
    bool has_applied_ = false;                        ///< the directory, at least once
    state::time_point store_failed_at_{};
    state::time_point holder_update_at_{}; ///< when the holder read what was last applied from it
    state::time_point own_read_at_{};      ///< when this instance requested what it last applied
};

} // namespace auburnweir::transport

#endif
