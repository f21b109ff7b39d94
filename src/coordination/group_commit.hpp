#ifndef AUBURNWEIR_COORDINATION_GROUP_COMMIT_HPP
#define AUBURNWEIR_COORDINATION_GROUP_COMMIT_HPP

#include "state/table_write.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace auburnweir::coordination
{

using write_ticket = state::quantity<struct write_ticket_unit, std::uint64_t>;

/// Limits of batches of writes.
struct group_commit_settings
{
    /// Maximum wait of a batch's first write.
    state::duration window = std::chrono::milliseconds{5};
    std::size_t max_rows = 64;             ///< of one transaction
    std::size_t max_batches_in_flight = 4; ///< each is one transaction
};

/// Groups conditional writes into transactions.
///
/// A row occurs at most once in a transaction and in at most one transaction in flight; later
/// writes of the same row wait. Not thread-safe. Reads no clock.
class group_commit
{
public:
    struct pending_write
    {
        write_ticket ticket;
        state::table_write write;
    };
    using batch = std::vector<pending_write>;

    explicit group_commit(group_commit_settings settings)
        : settings_(settings)
    {
    }

    void add(pending_write write, state::time_point now);

    /// The next transaction if one is due at `now`, else null. Several may be due at once, so the
    /// caller repeats the call until it returns null.
    std::optional<batch> next_batch(state::time_point now);

    /// Time from which `next_batch` may return a batch if nothing changes before; null for never.
    std::optional<state::time_point> due_at() const;

    /// Records that a transaction returned by `next_batch` has ended.
    void mark_completed(batch const& done);

    std::size_t waiting() const { return waiting_.size(); }

private:
    struct waiting_write
    {
        pending_write write;
        state::time_point added_at;
    };

    bool is_in_flight(state::row_key const& key) const;

    group_commit_settings settings_;
    std::deque<waiting_write> waiting_;
    std::vector<state::row_key> rows_in_flight_;
    std::size_t batches_in_flight_ = 0;
};

} // namespace auburnweir::coordination

#endif
