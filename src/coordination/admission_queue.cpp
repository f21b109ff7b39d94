#include "coordination/admission_queue.hpp"

#include <algorithm>

namespace auburnweir::coordination
{

namespace
{
constexpr double drain_rate_smoothing = 0.1;
constexpr state::duration min_retry_after = std::chrono::seconds{1};
} // namespace

admission_decision admission_queue::offer(admission_request const& request, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    organisations_[request.organisation].weight = request.weight;
    if (waiting_.empty() && has_free_slot_for(request))
    {
        ticket_number const ticket{next_ticket_++};
        start_request(ticket, request, assign_virtual_start(request));
        return admitted{ticket};
    }
    if (static_cast<std::int64_t>(waiting_.size()) >= settings_.queue_limit)
        return refused{
            state::refusal_reason::queue_full, std::max(min_retry_after, predicted_wait(request))};
    auto const wait = predicted_wait(request);
    if (request.deadline && now + wait >= *request.deadline)
        return refused{
            state::refusal_reason::deadline_unreachable, std::max(min_retry_after, wait)};

    ticket_number const ticket{next_ticket_++};
    waiting_.push_back({ticket, request, assign_virtual_start(request), now});
    admission_changes changes;
    admit_waiting(now, changes);
    bool const admitted_now = std::find(changes.admitted.begin(), changes.admitted.end(), ticket) !=
                              changes.admitted.end();
    if (admitted_now)
        return admitted{ticket};
    return queued{ticket};
}

admission_changes admission_queue::release(ticket_number ticket, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    admission_changes changes;
    auto const it = running_.find(ticket.count());
    if (it == running_.end())
        return changes;
    if (last_release_ && now > *last_release_)
    {
        auto const seconds = std::chrono::duration<double>(now - *last_release_).count();
        auto const rate = static_cast<double>(it->second.cost.count()) / seconds;
        drain_rate_tokens_per_second_ +=
            drain_rate_smoothing * (rate - drain_rate_tokens_per_second_);
    }
    last_release_ = now;
    --organisations_[it->second.organisation].running;
    running_.erase(it);
    remove_expired(now, changes);
    admit_waiting(now, changes);
    return changes;
}

void admission_queue::withdraw(ticket_number ticket)
{
    state::ranked_lock lock(mutex_);
    std::erase_if(waiting_, [&](waiting_ticket const& w) { return w.ticket == ticket; });
}

admission_changes admission_queue::expire(state::time_point now)
{
    state::ranked_lock lock(mutex_);
    admission_changes changes;
    remove_expired(now, changes);
    admit_waiting(now, changes);
    return changes;
}

admission_changes admission_queue::resize(std::int64_t capacity, state::time_point now)
{
    state::ranked_lock lock(mutex_);
    settings_.capacity = capacity;
    admission_changes changes;
    admit_waiting(now, changes);
    return changes;
}

std::int64_t admission_queue::in_progress() const
{
    state::ranked_lock lock(mutex_);
    return static_cast<std::int64_t>(running_.size());
}

std::int64_t admission_queue::waiting() const
{
    state::ranked_lock lock(mutex_);
    return static_cast<std::int64_t>(waiting_.size());
}

bool admission_queue::is_below_fair_share(admission_request const& request) const
{
    double active_weight = 0;
    for (auto const& [id, o] : organisations_)
        if (o.running > 0 || id == request.organisation)
            active_weight += o.weight;
    auto const share = static_cast<double>(settings_.capacity) * request.weight / active_weight;
    auto const it = organisations_.find(request.organisation);
    auto const running = it == organisations_.end() ? 0 : it->second.running;
    return static_cast<double>(running) < share;
}

bool admission_queue::has_free_slot_for(admission_request const& request) const
{
    auto const used = static_cast<std::int64_t>(running_.size());
    if (used >= settings_.capacity)
        return false;
    auto const reserved = static_cast<std::int64_t>(
        static_cast<double>(settings_.capacity) * settings_.reserved_share);
    return used < settings_.capacity - reserved || is_below_fair_share(request);
}

state::duration admission_queue::predicted_wait(admission_request const& request) const
{
    if (drain_rate_tokens_per_second_ <= 0)
        return state::duration{0};
    state::token_count ahead;
    for (auto const& w : waiting_)
        if (w.request.priority <= request.priority)
            ahead += w.request.cost;
    auto const seconds = static_cast<double>(ahead.count()) / drain_rate_tokens_per_second_;
    return std::chrono::duration_cast<state::duration>(std::chrono::duration<double>(seconds));
}

double admission_queue::assign_virtual_start(admission_request const& request)
{
    auto& organisation = organisations_[request.organisation];
    auto const begin = std::max(virtual_time_, organisation.virtual_finish);
    organisation.virtual_finish =
        begin + static_cast<double>(request.cost.count()) / request.weight;
    return begin;
}

void admission_queue::start_request(
    ticket_number ticket, admission_request const& request, double virtual_start)
{
    running_[ticket.count()] = {request.organisation, request.cost};
    ++organisations_[request.organisation].running;
    virtual_time_ = std::max(virtual_time_, virtual_start);
}

int admission_queue::effective_priority(waiting_ticket const& w, state::time_point now) const
{
    auto const raised_by = (now - w.queued_at) / settings_.ageing_interval;
    return static_cast<int>(w.request.priority) - static_cast<int>(raised_by);
}

std::list<admission_queue::waiting_ticket>::iterator admission_queue::next_waiting(
    state::time_point now)
{
    auto best = waiting_.end();
    for (auto it = waiting_.begin(); it != waiting_.end(); ++it)
    {
        if (!has_free_slot_for(it->request))
            continue;
        if (best == waiting_.end())
        {
            best = it;
            continue;
        }
        auto const priority = effective_priority(*it, now);
        auto const best_priority = effective_priority(*best, now);
        if (priority < best_priority ||
            (priority == best_priority && it->virtual_start < best->virtual_start))
            best = it;
    }
    return best;
}

void admission_queue::remove_expired(state::time_point now, admission_changes& out)
{
    for (auto it = waiting_.begin(); it != waiting_.end();)
    {
        if (!it->request.deadline || now < *it->request.deadline)
        {
            ++it;
            continue;
        }
        out.expired.push_back(it->ticket);
        it = waiting_.erase(it);
    }
}

void admission_queue::admit_waiting(state::time_point now, admission_changes& out)
{
    while (static_cast<std::int64_t>(running_.size()) < settings_.capacity)
    {
        auto const next = next_waiting(now);
        if (next == waiting_.end())
            return;
        start_request(next->ticket, next->request, next->virtual_start);
        out.admitted.push_back(next->ticket);
        waiting_.erase(next);
    }
}

} // namespace auburnweir::coordination
