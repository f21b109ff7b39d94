#ifndef AUBURNWEIR_COORDINATION_ADMISSION_QUEUE_HPP
#define AUBURNWEIR_COORDINATION_ADMISSION_QUEUE_HPP

#include "state/ids.hpp"
#include "state/lock_rank.hpp"
#include "state/reasons.hpp"
#include "state/request.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace auburnweir::coordination
{

using ticket_number = state::quantity<struct ticket_unit, std::uint64_t>;

/// Properties of a request on which its admission depends.
struct admission_request
{
    state::organisation_id organisation;
    double weight = 1.0;
    state::priority priority = state::priority::ordinary;
    state::token_count cost{1}; ///< tokens of the prompt and the expected answer
    std::optional<state::time_point> deadline;
};

/// The request may run now. The caller passes the ticket to `release` when it ends.
struct admitted
{
    ticket_number ticket;
};

/// The request waits until `release`, `expire` or `resize` returns its ticket.
struct queued
{
    ticket_number ticket;
};

struct refused
{
    state::refusal_reason reason;
    state::duration retry_after;
};

using admission_decision = std::variant<admitted, queued, refused>;

/// Tickets that stopped waiting because of a call.
struct admission_changes
{
    std::vector<ticket_number> admitted;
    std::vector<ticket_number> expired; ///< their deadline passed while they waited
};

/// Limits of one service's queue at one entry instance.
struct admission_settings
{
    std::int64_t capacity = 64;      ///< maximum of requests in progress
    std::int64_t queue_limit = 1000; ///< maximum of waiting requests
    double reserved_share = 0.1;     ///< share of slots for organisations below their fair share
    /// Wait that raises the priority by one.
    state::duration ageing_interval = std::chrono::seconds{10};
};

/// Shares a service's slots between organisations in proportion to their weights, in tokens.
///
/// Uses start-time fair queueing within a priority. Waiting raises the priority, so that
/// deferrable work is delayed but not starved. Thread-safe; takes `lock_rank::admission`. Reads
/// no clock.
class admission_queue
{
public:
    explicit admission_queue(admission_settings settings)
        : settings_(settings)
    {
    }

    admission_decision offer(admission_request const& request, state::time_point now);

    /// Frees the slot of an admitted ticket and admits waiting ones.
    admission_changes release(ticket_number ticket, state::time_point now);

    /// Removes a queued ticket, for example because its caller disconnected.
    void withdraw(ticket_number ticket);

    /// Removes queued tickets whose deadline has passed.
    admission_changes expire(state::time_point now);

    admission_changes resize(std::int64_t capacity, state::time_point now);

    std::int64_t in_progress() const;
    std::int64_t waiting() const;

private:
    struct waiting_ticket
    {
        ticket_number ticket;
        admission_request request;
        double virtual_start;
        state::time_point queued_at;
    };
    struct running_ticket
    {
        state::organisation_id organisation;
        state::token_count cost;
    };
    struct organisation_state
    {
        double virtual_finish = 0;
        double weight = 1.0;
        std::int64_t running = 0;
    };

    bool has_free_slot_for(admission_request const& request) const;
    bool is_below_fair_share(admission_request const& request) const;
    state::duration predicted_wait(admission_request const& request) const;
    int effective_priority(waiting_ticket const& w, state::time_point now) const;
    std::list<waiting_ticket>::iterator next_waiting(state::time_point now);
    double assign_virtual_start(admission_request const& request);
    void start_request(
        ticket_number ticket, admission_request const& request, double virtual_start);
    void remove_expired(state::time_point now, admission_changes& out);
    void admit_waiting(state::time_point now, admission_changes& out);

    admission_settings settings_;
    mutable state::ranked_mutex mutex_{state::lock_rank::admission};
    std::list<waiting_ticket> waiting_;
    std::unordered_map<std::uint64_t, running_ticket> running_;
    std::unordered_map<state::organisation_id, organisation_state> organisations_;
    double virtual_time_ = 0;
    double drain_rate_tokens_per_second_ = 0;
    std::optional<state::time_point> last_release_;
    std::uint64_t next_ticket_ = 1;
};

} // namespace auburnweir::coordination

#endif
