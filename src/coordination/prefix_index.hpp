#ifndef AUBURNWEIR_COORDINATION_PREFIX_INDEX_HPP
#define AUBURNWEIR_COORDINATION_PREFIX_INDEX_HPP

#include "state/ids.hpp"
#include "state/lock_rank.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburnweir::coordination
{

/// Hashes of a prompt's leading blocks; each also covers all blocks before it.
using prefix_hashes = std::vector<std::uint64_t>;

/// Bytes of prompt text in one block of the prefix cache (64 tokens at four bytes).
constexpr std::size_t prefix_block_bytes = 256;

/// Hashes the whole blocks of `prompt`, at most `max_blocks` of them.
prefix_hashes hash_prefix(std::string_view prompt, std::size_t max_blocks = 64);

/// Estimates which backend servers have which prompt prefixes in their caches.
///
/// The sources are this instance's own routing and cache events, which arrive late and with gaps.
/// The confidence in an entry decreases with its age, and an entry is never taken for certain. The
/// oldest entries are evicted at the capacity. Thread-safe; takes `lock_rank::prefix_index`.
class prefix_index
{
public:
    /// @param capacity  maximum number of (block, backend server) entries
    /// @param lifetime  age from which an entry is ignored
    prefix_index(std::size_t capacity, state::duration lifetime);

    /// Records that `backend` has (or will have) the blocks in its cache.
    void record_blocks(
        state::backend_id const& backend, prefix_hashes const& blocks, state::time_point now);

    /// Records that `backend` evicted a block from its cache.
    void record_eviction(state::backend_id const& backend, std::uint64_t block);

    /// Records that cache events of `backend` were missed, which halves the confidence in its older
    /// entries.
    void record_event_gap(state::backend_id const& backend, state::time_point now);

    /// Expected number of leading tokens that `backend` need not compute.
    state::token_count expected_hit(
        state::backend_id const& backend, prefix_hashes const& blocks, state::time_point now) const;

    std::size_t size() const;

private:
    struct block_location
    {
        state::backend_id backend;
        state::time_point recorded_at;
    };
    struct age_entry
    {
        std::uint64_t block;
        state::backend_id backend;
        state::time_point recorded_at;
    };

    double confidence(block_location const& location, state::time_point now) const;
    void evict_oldest();

    std::size_t const capacity_;
    state::duration const lifetime_;
    mutable state::ranked_mutex mutex_{state::lock_rank::prefix_index};
    std::unordered_map<std::uint64_t, std::vector<block_location>> blocks_;
    std::unordered_map<state::backend_id, state::time_point> last_event_gaps_;
    std::deque<age_entry> entries_by_age_;
};

} // namespace auburnweir::coordination

#endif
