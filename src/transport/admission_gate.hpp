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

/// Slot of an admitted request; the destructor releases it.
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

/// Admission queues of all services; queued requests wait as coroutines.
///
/// Thread-safe; takes `lock_rank::admission_gate`, then `lock_rank::admission`.
class admission_gate
{
public:
    /// Waits for a slot. @return the slot, or the reason for the refusal
    net::awaitable<admission_result> admit(
        net::io_context& io, state::service_id service, std::int64_t queue_limit,
        coordination::admission_request request);

    /// Sets the number of requests of a service that may be in progress at this instance.
    void resize(state::service_id const& service, std::int64_t capacity, std::int64_t queue_limit);

    /// Wakes queued requests whose deadline has passed. Call it periodically.
    void expire();

    /// Requests in progress and queued, as a share of the service's slots; 0 for an unknown
    /// service.
    double load(state::service_id const& service) const;

    std::int64_t queued_requests(state::service_id const& service) const;

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

    /// Removes a waiter when its coroutine ends, also when its worker stops and destroys it.
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
