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

prefix_hashes hash_prefix(std::string_view prompt, std::size_t max_blocks)
{
    prefix_hashes hashes;
    std::uint64_t chained = 0;
    auto const blocks = std::min(prompt.size() / prefix_block_bytes, max_blocks);
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
        auto& locations = blocks_[block];
        auto const it = std::find_if(
            locations.begin(), locations.end(),
            [&](block_location const& location) { return location.backend == backend; });
        if (it == locations.end())
            locations.push_back({backend, now});
        else
            it->recorded_at = std::max(it->recorded_at, now);
        entries_by_age_.push_back({block, backend, now});
    }
    while (entries_by_age_.size() > capacity_)
        evict_oldest();
}

void prefix_index::evict_oldest()
{
    auto const oldest = std::move(entries_by_age_.front());
    entries_by_age_.pop_front();
    auto const it = blocks_.find(oldest.block);
    if (it == blocks_.end())
        return;
    std::erase_if(
        it->second,
        [&](block_location const& location) {
            return location.backend == oldest.backend && location.recorded_at <= oldest.recorded_at;
        });
    if (it->second.empty())
        blocks_.erase(it);
}

void prefix_index::record_eviction(state::backend_id const& backend, std::uint64_t block)
{
    state::ranked_lock lock(mutex_);
    auto const it = blocks_.find(block);
    if (it == blocks_.end())
        return;
    std::erase_if(
        it->second, [&](block_location const& location) { return location.backend == backend; });
    if (it->second.empty())
        blocks_.erase(it);
}

void prefix_index::record_event_gap(state::backend_id const& backend, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    last_event_gaps_[backend] = now;
}

double prefix_index::confidence(block_location const& location, state::time_point now) const
{
    auto const age = now - location.recorded_at;
    if (age >= lifetime_)
        return 0;
    auto const freshness =
        1.0 - static_cast<double>(age.count()) / static_cast<double>(lifetime_.count());
    auto const gap = last_event_gaps_.find(location.backend);
    bool const events_missed = gap != last_event_gaps_.end() && location.recorded_at < gap->second;
    return events_missed ? freshness * confidence_after_gap : freshness;
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
        auto const location = std::find_if(
            it->second.begin(), it->second.end(),
            [&](block_location const& x) { return x.backend == backend; });
        if (location == it->second.end())
            break;
        expected += confidence(*location, now) * static_cast<double>(tokens_per_block);
    }
    return state::token_count{static_cast<std::int64_t>(expected)};
}

std::size_t prefix_index::size() const
{
    state::ranked_lock lock(mutex_);
    return entries_by_age_.size();
}

} // namespace auburnweir::coordination
