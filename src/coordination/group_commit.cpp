#include "coordination/group_commit.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

void group_commit::add(pending_write write, state::time_point now)
{
    waiting_.push_back({std::move(write), now});
}

bool group_commit::is_in_flight(state::row_key const& key) const
{
    return std::find(rows_in_flight_.begin(), rows_in_flight_.end(), key) != rows_in_flight_.end();
}

std::optional<state::time_point> group_commit::due_at() const
{
    if (waiting_.empty() || batches_in_flight_ >= settings_.max_batches_in_flight)
        return std::nullopt;
    if (waiting_.size() >= settings_.max_rows)
        return waiting_.front().added_at;
    return waiting_.front().added_at + settings_.window;
}

std::optional<group_commit::batch> group_commit::next_batch(state::time_point now)
{
    auto const due_time = due_at();
    if (!due_time || now < *due_time)
        return std::nullopt;
    batch next;
    std::deque<waiting_write> remaining;
    for (auto& w : waiting_)
    {
        bool const has_capacity = next.size() < settings_.max_rows;
        if (!has_capacity || is_in_flight(w.write.write.key))
        {
            remaining.push_back(std::move(w));
            continue;
        }
        rows_in_flight_.push_back(w.write.write.key);
        next.push_back(std::move(w.write));
    }
    waiting_ = std::move(remaining);
    if (next.empty())
        return std::nullopt;
    ++batches_in_flight_;
    return next;
}

void group_commit::mark_completed(batch const& done)
{
    --batches_in_flight_;
    for (auto const& p : done)
        std::erase(rows_in_flight_, p.write.key);
}

} // namespace auburnweir::coordination
