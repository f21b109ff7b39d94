#ifndef AUBURNWEIR_STATE_DIRECTORY_LOG_HPP
#define AUBURNWEIR_STATE_DIRECTORY_LOG_HPP

#include "state/lock_rank.hpp"
#include "state/server_table.hpp"

#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace auburnweir::state
{

/// Number of changes applied to one instance's copy of the directory.
using directory_version = quantity<struct directory_version_unit, std::uint64_t>;

/// Hash of all listed servers; equal for copies with the same content, whatever their history.
using directory_digest = quantity<struct directory_digest_unit, std::uint64_t>;

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
/// Removed servers and the digests of earlier versions are kept for the last `max_history` changes.
///
/// Thread-safe; takes `lock_rank::directory_log`.
class directory_log
{
public:
    static constexpr std::size_t max_history = 1024;

    /// Records a row. A cold server's row that is renewed with the time that is left is no change,
    /// nor is the end of that time.
    void record_listed(listed_server const& server, time_point now = {});
    void record_removed(backend_id const& id);

    /// Records that a request sent at `requested_at` read the directory.
    void confirm(time_point requested_at);

    /// Changes after `base`.
    /// @param base  version that the other instance has
    /// @return null until the directory has been read, and when `base` is older than the history
    std::optional<directory_update> changes_since(directory_version base, time_point now) const;

    /// All servers. @return null until the directory has been read
    std::optional<directory_update> full_copy(time_point now) const;

    /// The newest version with this digest; null when no version of the history has it.
    std::optional<directory_version> version_with(directory_digest digest) const;

    directory_digest digest() const;
    std::size_t server_count() const;

private:
    struct entry
    {
        std::optional<listed_server> server; ///< null after removal
        time_point cold_until{};             ///< if the server's row says whether it is cold
        std::uint64_t hash = 0;              ///< of the server; 0 after removal
        std::uint64_t version = 0;
    };
    using entries = std::map<backend_id, entry>;

    static listed_server listed_at(entry const& e, time_point now);
    void record_change(entries::iterator changed, std::uint64_t hash);
    directory_update update_at(time_point now) const;

    mutable ranked_mutex mutex_{lock_rank::directory_log};
    entries entries_;
    std::size_t server_count_ = 0;
    std::uint64_t last_version_ = 0;
    std::uint64_t digest_ = 0;
    /// Digest and changed server of each version, the oldest first.
    std::deque<std::pair<std::uint64_t, backend_id>> history_{{0, backend_id{}}};
    std::uint64_t oldest_version_ = 0; ///< of the first element of `history_`
    std::optional<time_point> read_at_;
};

} // namespace auburnweir::state

#endif
