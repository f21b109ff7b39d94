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

/// Hashes of a prompt's leading blocks; each covers all blocks before it.
using prefix_hashes = std::vector<std::uint64_t>;

/// Bytes of prompt text in one block of the prefix cache (64 tokens at four bytes).
constexpr std::size_t prefix_block_bytes = 256;

/// Hashes the whole blocks of `prompt`, at most `limit` of them.
prefix_hashes hash_prefix(std::string_view prompt, std::size_t limit = 64);

/// Guesses which backend servers hold which prompt prefixes.
///
/// Fed from our own routing and from cache events, which come late and with gaps. An entry
/// fades with age and is never taken for certain. Bounded: the oldest entries go first.
/// Thread-safe; takes `lock_rank::prefix_index`.
class prefix_index
{
public:
    /// @param capacity  most (block, backend server) entries
    /// @param lifetime  age at which an entry counts nothing
    prefix_index(std::size_t capacity, state::duration lifetime);

    /// Notes that `backend` has (or will have) the blocks in its cache.
    void record_blocks(
        state::backend_id const& backend, prefix_hashes const& blocks, state::time_point now);

    /// Notes that `backend` dropped a block.
    void record_eviction(state::backend_id const& backend, std::uint64_t block);

    /// Notes that cache events of `backend` were missed: what is older is trusted half as long.
    void record_event_gap(state::backend_id const& backend, state::time_point now);

    /// Expected number of leading tokens that `backend` need not compute.
    state::token_count expected_hit(
        state::backend_id const& backend, prefix_hashes const& blocks, state::time_point now) const;

    std::size_t size() const;

private:
    struct holder
    {
        state::backend_id backend;
        state::time_point seen;
    };
    struct age_entry
    {
        std::uint64_t block;
        state::backend_id backend;
        state::time_point seen;
    };

    double confidence(holder const& h, state::time_point now) const;
    void evict_oldest();

    std::size_t const capacity_;
    state::duration const lifetime_;
    mutable state::ranked_mutex mutex_{state::lock_rank::prefix_index};
    std::unordered_map<std::uint64_t, std::vector<holder>> blocks_;
    std::unordered_map<state::backend_id, state::time_point> gaps_;
    std::deque<age_entry> by_age_;
};

} // namespace auburnweir::coordination

#endif
