#ifndef AUBURNWEIR_STATE_DIRECTORY_LOG_HPP
#define AUBURNWEIR_STATE_DIRECTORY_LOG_HPP

#include "state/lock_rank.hpp"
#include "state/server_table.hpp"

#include <optional>
#include <vector>

namespace auburnweir::state
{

/// Number of changes applied to one instance's copy of the directory.
using directory_version = quantity<struct directory_version_unit, std::uint64_t>;

/// Changes of the directory, for an instance that does not read it from the store.
struct directory_update
{
    directory_version version; ///< after these changes
    duration age{0};           ///< time since the directory was read
    bool complete = false;     ///< lists all servers: the receiver removes the others
    std::vector<listed_server> listed;
    std::vector<backend_id> removed;

    friend bool operator==(directory_update const&, directory_update const&) = default;
};

/// The directory as this instance last read it, with the version in which each row last changed.
///
/// Thread-safe; takes `lock_rank::directory_log`.
class directory_log
{
public:
    void record_listed(listed_server const& server)
    {
        ranked_lock lock(mutex_);
        auto& e = entries_[server.id];
        if (e.server == server)
            return;
        e.server = server;
        e.version = ++last_version_;
    }

    void record_removed(backend_id const& id)
    {
        ranked_lock lock(mutex_);
        auto const it = entries_.find(id);
        if (it == entries_.end() || !it->second.server)
            return;
        it->second.server.reset();
        it->second.version = ++last_version_;
    }

    /// Records that a request sent at `requested_at` read the directory.
    void confirm(time_point requested_at)
    {
        ranked_lock lock(mutex_);
        read_at_ = requested_at;
    }

    /// Changes after `base`.
    /// @param base  version that the other instance has; 0: none
    /// @return null until the directory has been read
    std::optional<directory_update> since(directory_version base, time_point now) const
    {
        ranked_lock lock(mutex_);
        if (!read_at_)
            return std::nullopt;
        directory_update update;
        update.version = directory_version{last_version_};
        update.age = now - *read_at_;
        update.complete = base.count() == 0;
        for (auto const& [id, e] : entries_)
        {
            if (e.version <= base.count())
                continue;
            if (e.server)
                update.listed.push_back(*e.server);
            else if (!update.complete)
                update.removed.push_back(id);
        }
        return update;
    }

private:
    struct entry
    {
        std::optional<listed_server> server; ///< null after removal
        std::uint64_t version = 0;
    };

    mutable ranked_mutex mutex_{lock_rank::directory_log};
    std::map<backend_id, entry> entries_;
    std::uint64_t last_version_ = 0;
    std::optional<time_point> read_at_;
};

} // namespace auburnweir::state

#endif
