#include "coordination/prefix_index.hpp"

#include <algorithm>
#include <xxhash.h>

namespace auburnweir::coordination
{

namespace
{
constexpr std::int64_t tokens_per_block = 64;
constexpr double confidence_after_gap = 0.5;
} // namespace

prefix_hashes hash_prefix(std::string_view prompt, std::size_t limit)
{
    prefix_hashes hashes;
    std::uint64_t chained = 0;
    auto const blocks = std::min(prompt.size() / prefix_block_bytes, limit);
    for (std::size_t i = 0; i < blocks; ++i)
    {
        chained = XXH3_64bits_withSeed(
            prompt.data() + i * prefix_block_bytes, prefix_block_bytes, chained);
        hashes.push_back(chained);
    }
    return hashes;
}

prefix_index::prefix_index(std::size_t capacity, state::duration lifetime)
    : capacity_(capacity)
    , lifetime_(lifetime)
{
}

void prefix_index::record_blocks(
    state::backend_id const& backend, prefix_hashes const& blocks, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    for (auto const block : blocks)
    {
        auto& holders = blocks_[block];
        auto const it = std::find_if(
            holders.begin(), holders.end(), [&](holder const& h) { return h.backend == backend; });
        if (it == holders.end())
            holders.push_back({backend, now});
        else
            it->seen = std::max(it->seen, now);
        by_age_.push_back({block, backend, now});
    }
    while (by_age_.size() > capacity_)
        evict_oldest();
}

void prefix_index::evict_oldest()
{
    auto const oldest = std::move(by_age_.front());
    by_age_.pop_front();
    auto const it = blocks_.find(oldest.block);
    if (it == blocks_.end())
        return;
    std::erase_if(
        it->second,
        [&](holder const& h) { return h.backend == oldest.backend && h.seen <= oldest.seen; });
    if (it->second.empty())
        blocks_.erase(it);
}

void prefix_index::record_eviction(state::backend_id const& backend, std::uint64_t block)
{
    state::ranked_lock lock(mutex_);
    auto const it = blocks_.find(block);
    if (it == blocks_.end())
        return;
    std::erase_if(it->second, [&](holder const& h) { return h.backend == backend; });
    if (it->second.empty())
        blocks_.erase(it);
}

void prefix_index::record_event_gap(state::backend_id const& backend, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    gaps_[backend] = now;
}

double prefix_index::confidence(holder const& h, state::time_point now) const
{
    auto const age = now - h.seen;
    if (age >= lifetime_)
        return 0;
    auto const fresh =
        1.0 - static_cast<double>(age.count()) / static_cast<double>(lifetime_.count());
    auto const gap = gaps_.find(h.backend);
    bool const missed = gap != gaps_.end() && h.seen < gap->second;
    return missed ? fresh * confidence_after_gap : fresh;
}

state::token_count prefix_index::expected_hit(
    state::backend_id const& backend, prefix_hashes const& blocks, state::time_point now) const
{
    state::ranked_lock lock(mutex_);
    double expected = 0;
    for (auto const block : blocks)
    {
        auto const it = blocks_.find(block);
        if (it == blocks_.end())
            break;
        auto const h = std::find_if(
            it->second.begin(), it->second.end(),
            [&](holder const& x) { return x.backend == backend; });
        if (h == it->second.end())
            break;
        expected += confidence(*h, now) * static_cast<double>(tokens_per_block);
    }
    return state::token_count{static_cast<std::int64_t>(expected)};
}

std::size_t prefix_index::size() const
{
    state::ranked_lock lock(mutex_);
    return by_age_.size();
}

} // namespace auburnweir::coordination
