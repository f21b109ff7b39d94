#include "transport/admission_gate.hpp"

#include "transport/clock.hpp"

namespace auburnweir::transport
{

namespace
{
constexpr state::duration max_queue_wait = std::chrono::minutes{10};
constexpr state::duration retry_delay_after_timeout = std::chrono::seconds{1};
} // namespace

admission_slot::admission_slot(
    admission_gate& gate, state::service_id service, coordination::ticket_number ticket)
    : gate_(&gate)
    , service_(std::move(service))
    , ticket_(ticket)
{
}

admission_slot::admission_slot(admission_slot&& other) noexcept
    : gate_(std::exchange(other.gate_, nullptr))
    , service_(std::move(other.service_))
    , ticket_(other.ticket_)
{
}

admission_slot& admission_slot::operator=(admission_slot&& other) noexcept
{
    std::swap(gate_, other.gate_);
    std::swap(service_, other.service_);
    std::swap(ticket_, other.ticket_);
    return *this;
}

admission_slot::~admission_slot()
{
    if (gate_)
        gate_->release(service_, ticket_);
}

admission_gate::service_queue& admission_gate::find_or_create_queue(
    state::service_id const& service, std::int64_t queue_limit)
{
    auto& q = queues_[service];
    if (!q)
    {
        coordination::admission_settings settings;
        settings.queue_limit = queue_limit;
        q = std::make_unique<service_queue>(settings);
    }
    return *q;
}

net::awaitable<admission_result> admission_gate::admit(
    net::io_context& io, state::service_id service, std::int64_t queue_limit,
    coordination::admission_request request)
{
    auto const own_waiter = std::make_shared<waiter>();
    coordination::ticket_number ticket;
    {
        state::ranked_lock lock(mutex_);
        auto& q = find_or_create_queue(service, queue_limit);
        auto const decision = q.queue.offer(request, now());
        if (auto const* r = std::get_if<coordination::refused>(&decision))
            co_return *r;
        if (auto const* a = std::get_if<coordination::admitted>(&decision))
            co_return admission_slot{*this, service, a->ticket};
        ticket = std::get<coordination::queued>(decision).ticket;
        own_waiter->decided = std::make_shared<async_signal>(io);
        q.waiters[ticket.count()] = own_waiter;
    }
    waiter_scope const scope(*this, service, ticket);
    auto const timeout = request.deadline ? *request.deadline - now() : max_queue_wait;
    co_await own_waiter->decided->wait(timeout);

    state::ranked_lock lock(mutex_);
    auto& q = find_or_create_queue(service, queue_limit);
    if (own_waiter->admitted)
        co_return admission_slot{*this, service, ticket};
    q.queue.withdraw(ticket);
    co_return coordination::refused{
        state::refusal_reason::deadline_exceeded, retry_delay_after_timeout};
}

admission_gate::waiter_scope::~waiter_scope()
{
    state::ranked_lock lock(gate_.mutex_);
    gate_.queues_.at(service_)->waiters.erase(ticket_.count());
}

void admission_gate::notify_waiters(
    service_queue& q, coordination::admission_changes const& changes)
{
    for (auto const ticket : changes.admitted)
    {
        auto const it = q.waiters.find(ticket.count());
        if (it == q.waiters.end())
            continue;
        it->second->admitted = true;
        it->second->decided->notify();
    }
    for (auto const ticket : changes.expired)
    {
        auto const it = q.waiters.find(ticket.count());
        if (it == q.waiters.end())
            continue;
        it->second->decided->notify();
    }
}

void admission_gate::release(state::service_id const& service, coordination::ticket_number ticket)
{
    state::ranked_lock lock(mutex_);
    auto const it = queues_.find(service);
    if (it != queues_.end())
        notify_waiters(*it->second, it->second->queue.release(ticket, now()));
}

void admission_gate::resize(
    state::service_id const& service, std::int64_t capacity, std::int64_t queue_limit)
{
    state::ranked_lock lock(mutex_);
    auto& q = find_or_create_queue(service, queue_limit);
    q.capacity = capacity;
    notify_waiters(q, q.queue.resize(capacity, now()));
}

void admission_gate::expire()
{
    state::ranked_lock lock(mutex_);
    for (auto& [id, q] : queues_)
        notify_waiters(*q, q->queue.expire(now()));
}

double admission_gate::load(state::service_id const& service) const
{
    state::ranked_lock lock(mutex_);
    auto const it = queues_.find(service);
    if (it == queues_.end() || it->second->capacity == 0)
        return 0;
    auto const busy = it->second->queue.in_progress() + it->second->queue.waiting();
    return static_cast<double>(busy) / static_cast<double>(it->second->capacity);
}

std::int64_t admission_gate::queued_requests(state::service_id const& service) const
{
    state::ranked_lock lock(mutex_);
    auto const it = queues_.find(service);
    return it == queues_.end() ? 0 : it->second->queue.waiting();
}

} // namespace auburnweir::transport
