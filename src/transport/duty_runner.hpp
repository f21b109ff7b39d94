#ifndef AUBURNWEIR_TRANSPORT_DUTY_RUNNER_HPP
#define AUBURNWEIR_TRANSPORT_DUTY_RUNNER_HPP

#include "coordination/duty_lease.hpp"
#include "coordination/fleet_planner.hpp"
#include "coordination/lease_claim.hpp"
#include "transport/gateway_context.hpp"
#include "transport/peer_exchange.hpp"
#include "transport/quarantine_store.hpp"

#include <random>

namespace auburnweir::transport
{

/// Runs the duties that only the holder of the lease performs: usage reports and fleet orders.
class duty_runner
{
public:
    duty_runner(gateway_context& context, peer_exchange& peers);

    void start();

    /// Whether what the instances have stored was read, or could not be read, since the start.
    bool has_read_stored_state() const { return has_read_stored_state_; }

private:
    /// The lease row, as this instance last read or wrote it.
    struct held_lease
    {
        coordination::duty_record record;
        state::row_version version;
        bool is_stored = false; ///< the store has acknowledged the record
    };

    /// What the rows of the duties say.
    struct duty_rows
    {
        coordination::duty_record record;
        state::row_version version; ///< of the lease's row
        coordination::lease_reading reading;
    };

    net::awaitable<void> run();
    /// Learns at the start who holds the duties and which segments are quarantined.
    net::awaitable<void> read_stored_state();
    net::awaitable<std::optional<duty_rows>> read_rows();
    coordination::lease_claim claim_of(duty_rows const& rows) const;
    net::awaitable<void> find_holder();
    /// Records that the lease is free and this instance may not take it yet.
    void record_barred_claim(duty_rows const& rows, state::wall_time until);
    void follow_other_holder(duty_rows const& rows);
    coordination::duty_record continued_from_copy(coordination::duty_record record) const;
    void follow(coordination::duty_record const& record);
    state::duration lookup_jitter();
    net::awaitable<void> release_lease();
    net::awaitable<void> acquire_lease(
        coordination::duty_record record, state::lease_record new_lease,
        state::row_version version);
    net::awaitable<void> perform_duties();
    net::awaitable<bool> save_record(coordination::duty_record record);
    net::awaitable<void> report_usage();
    net::awaitable<void> order_fleet();
    net::awaitable<void> place_order(state::fleet_group group, std::int64_t count);
    void record_initial_fleet(coordination::duty_record& record) const;
    coordination::usage_progress progress() const;
    bool lease_permits_calls() const;
    bool holds_lease() const { return held_lease_.has_value(); }
    void lose_lease(std::string_view reason);
    state::window_number current_window() const;
    bool lookup_is_due() const;

    gateway_context& context_;
    peer_exchange& peers_;
    quarantine_store quarantine_store_;
    std::atomic<bool> has_read_stored_state_ = false;
    coordination::lease_settings lease_;
    std::optional<held_lease> held_lease_;
    /// Calls that this instance made under the lease have arrived by then; null without any.
    std::optional<state::wall_time> acted_until_;
    std::optional<coordination::duty_record> last_held_; ///< when the last lease was lost
    /// When the current lease was acquired, if its row was a copy older than the store's era.
    std::optional<state::time_point> copy_taken_at_;
    state::time_point usage_stored_at_{}; ///< when the pending usage report was made
    state::time_point started_at_{};
    state::time_point renewed_at_{};
    state::time_point next_renewal_at_{}; ///< later than `renewed_at_` after a refused renewal
    std::map<state::fleet_group, coordination::placed_order> placed_orders_;
    state::time_point planned_at_{};
    state::time_point next_lookup_at_{}; ///< earliest time of the next lookup of the holder
    int failed_lookups_ = 0;             ///< in a row
    std::mt19937_64 random_;
};

} // namespace auburnweir::transport

#endif
