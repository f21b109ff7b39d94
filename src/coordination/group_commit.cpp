#include "coordination/group_commit.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

void group_commit::add(pending_write write, state::time_point now)
{
    waiting_.push_back({std::move(write), now});
}

bool group_commit::in_flight(state::row_key const& key) const
{
    return std::find(rows_in_flight_.begin(), rows_in_flight_.end(), key) != rows_in_flight_.end();
}

std::optional<state::time_point> group_commit::due_at() const
{
    if (waiting_.empty() || batches_in_flight_ >= settings_.most_in_flight)
        return std::nullopt;
    if (waiting_.size() >= settings_.most_rows)
        return waiting_.front().since;
    return waiting_.front().since + settings_.window;
}

std::optional<group_commit::batch> group_commit::next_batch(state::time_point now)
{
    auto const due = due_at();
    if (!due || now < *due)
        return std::nullopt;
    batch taken;
    std::deque<waiting_write> held_back;
    for (auto& w : waiting_)
    {
        bool const room = taken.size() < settings_.most_rows;
        if (!room || in_flight(w.write.write.key))
        {
            held_back.push_back(std::move(w));
            continue;
        }
        rows_in_flight_.push_back(w.write.write.key);
        taken.push_back(std::move(w.write));
    }
    waiting_ = std::move(held_back);
    if (taken.empty())
        return std::nullopt;
    ++batches_in_flight_;
    return taken;
}

void group_commit::mark_completed(batch const& done)
{
    --batches_in_flight_;
    for (auto const& p : done)
        std::erase(rows_in_flight_, p.write.key);
}

} // namespace auburnweir::coordination
