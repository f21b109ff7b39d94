#include "state/lock_rank.hpp"

#include <cassert>
#include <vector>

namespace auburnweir::state
{

#ifndef NDEBUG
namespace
{
std::vector<lock_rank>& held_ranks()
{
    thread_local std::vector<lock_rank> ranks;
    return ranks;
}
} // namespace
#endif

bool may_acquire(lock_rank held, lock_rank wanted)
{
    return static_cast<int>(held) < static_cast<int>(wanted);
}

void ranked_mutex::lock()
{
#ifndef NDEBUG
    auto& held = held_ranks();
    assert(held.empty() || may_acquire(held.back(), rank_));
    held.push_back(rank_);
#endif
    mutex_.lock();
}

void ranked_mutex::unlock()
{
    mutex_.unlock();
#ifndef NDEBUG
    held_ranks().pop_back();
#endif
}

} // namespace auburnweir::state
