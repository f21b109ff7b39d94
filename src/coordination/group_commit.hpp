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

/// Limits of write grouping.
struct group_commit_settings
{
    state::duration window = std::chrono::milliseconds{5}; ///< longest wait of the first write
    std::size_t most_rows = 64;                            ///< in one transaction
    std::size_t most_in_flight = 4;                        ///< transactions at once
};

/// Groups conditional writes into transactions.
///
/// A row stands at most once in a transaction and in at most one transaction in flight; later
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

    /// The next transaction if one is due at `now`; call again until empty.
    std::optional<batch> next_batch(state::time_point now);

    /// When `next_batch` has something to give if nothing else happens.
    std::optional<state::time_point> due_at() const;

    /// Notes the end of a transaction that `next_batch` gave.
    void mark_completed(batch const& done);

    std::size_t waiting() const { return waiting_.size(); }

private:
    struct waiting_write
    {
        pending_write write;
        state::time_point since;
    };

    bool in_flight(state::row_key const& key) const;

    group_commit_settings settings_;
    std::deque<waiting_write> waiting_;
    std::vector<state::row_key> rows_in_flight_;
    std::size_t batches_in_flight_ = 0;
};

} // namespace auburnweir::coordination

#endif
