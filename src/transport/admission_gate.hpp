#ifndef AUBURNWEIR_TRANSPORT_ADMISSION_GATE_HPP
#define AUBURNWEIR_TRANSPORT_ADMISSION_GATE_HPP

#include "coordination/admission_queue.hpp"
#include "state/ids.hpp"
#include "transport/async_signal.hpp"

#include <map>
#include <memory>
#include <unordered_map>
#include <variant>

namespace auburnweir::transport
{

class admission_gate;

/// A slot that an admitted request holds; given back when it goes out of scope.
class admission_slot
{
public:
    admission_slot() = default;
    admission_slot(
        admission_gate& gate, state::service_id service, coordination::ticket_number ticket);
    admission_slot(admission_slot&& other) noexcept;
    admission_slot& operator=(admission_slot&& other) noexcept;
    ~admission_slot();

private:
    admission_gate* gate_ = nullptr;
    state::service_id service_;
    coordination::ticket_number ticket_;
};

using admission_result = std::variant<admission_slot, coordination::refused>;

/// The services' admission queues, with coroutines waiting at them.
///
/// Thread-safe; takes `lock_rank::admission_gate`, then `lock_rank::admission`.
class admission_gate
{
public:
    /// Waits for a slot. @return the slot, or why there is none
    net::awaitable<admission_result> admit(
        net::io_context& io, state::service_id service, std::int64_t queue_limit,
        coordination::admission_request request);

    /// Sets how many requests of a service may be in progress at this instance.
    void resize(state::service_id const& service, std::int64_t capacity, std::int64_t queue_limit);

    /// Wakes requests whose deadline passed while they waited. Call it regularly.
    void expire();

    /// Share of a service's slots in use, from 0 to 1; 0 for an unknown service.
    double load(state::service_id const& service) const;

    std::int64_t waiting(state::service_id const& service) const;

private:
    friend class admission_slot;
    struct waiter
    {
        signal_ptr decided;
        bool admitted = false;
    };
    using waiter_ptr = std::shared_ptr<waiter>;
    struct service_queue
    {
        explicit service_queue(coordination::admission_settings settings)
            : queue(settings)
            , capacity(settings.capacity)
        {
        }

        coordination::admission_queue queue;
        std::int64_t capacity;
        std::unordered_map<std::uint64_t, waiter_ptr> waiters;
    };

    /// Forgets a waiter when its coroutine ends, also by the end of its worker.
    class waiter_scope
    {
    public:
        waiter_scope(
            admission_gate& gate, state::service_id service, coordination::ticket_number ticket)
            : gate_(gate)
            , service_(std::move(service))
            , ticket_(ticket)
        {
        }
        waiter_scope(waiter_scope const&) = delete;
        waiter_scope& operator=(waiter_scope const&) = delete;
        ~waiter_scope();

    private:
        admission_gate& gate_;
        state::service_id service_;
        coordination::ticket_number ticket_;
    };

    service_queue& find_or_create_queue(state::service_id const& service, std::int64_t queue_limit);
    void release(state::service_id const& service, coordination::ticket_number ticket);
    static void notify_waiters(service_queue& q, coordination::admission_changes const& changes);

    mutable state::ranked_mutex mutex_{state::lock_rank::admission_gate};
    std::map<state::service_id, std::unique_ptr<service_queue>> queues_;
};

} // namespace auburnweir::transport

#endif
