#include "transport/duty_runner.hpp"

#include "coordination/lease_turns.hpp"
#include "coordination/store_pacing.hpp"
#include "protocol/duty_record_codec.hpp"
#include "transport/async_signal.hpp"
#include "transport/log.hpp"
#include "transport/store_observer.hpp"

namespace auburnweir::transport
{

namespace
{

/// Interval between checks of the lease and the duties.
constexpr state::duration check_interval = std::chrono::milliseconds{250};

/// The holder renews its lease this many times in the lease's length.
constexpr int renewals_per_lease = 4;

/// Timeout of a duty call. The lease is longer by it, so that a call can't arrive after its lease.
constexpr state::duration duty_call_timeout = std::chrono::milliseconds{800};

/// Maximum error of the estimated store clock.
constexpr state::duration max_clock_error = std::chrono::milliseconds{200};

/// Silence of the holder after which the lease row is read.
constexpr state::duration max_holder_silence = std::chrono::milliseconds{1000};

/// Range of the random delay of lookups, by the number of instances, so that the loss of a holder
/// does not make all instances read at once.
constexpr state::duration shortest_lookup_jitter = std::chrono::milliseconds{600};
constexpr state::duration longest_lookup_jitter = std::chrono::milliseconds{1500};

/// Minimum interval between two lookups.
constexpr state::duration lookup_interval = std::chrono::milliseconds{600};

/// Each failed lookup delays the next by one more interval, up to this number.
constexpr int max_counted_failed_lookups = 3;

/// Delay before a lease that the store refused to renew is renewed again.
constexpr state::duration renewal_retry_delay = std::chrono::milliseconds{500};

/// Time in which the responses to the others' reports carry a new value to them.
constexpr state::duration publication_time = std::chrono::milliseconds{400};

/// Time after the start in which running engines have listed themselves.
constexpr state::duration initial_listing_time = std::chrono::seconds{5};

/// Interval between fleet plans.
constexpr state::duration plan_period = std::chrono::milliseconds{500};

constexpr char const* duty_table_name = "auburnweir-duties";
constexpr char const* duty_key = "lease";

} // namespace

duty_runner::duty_runner(gateway_context& context, peer_exchange& peers)
    : context_(context)
    , peers_(peers)
    , quarantine_store_(context)
    , random_(context.workers.at(0).random()())
{
    lease_.length = context.settings.lease_bound + duty_call_timeout;
    lease_.clock_bound = max_clock_error;
    lease_.delivery_bound = duty_call_timeout;
    lease_.return_interval = context.settings.lease_bound;
}

void duty_runner::start()
{
    net::co_spawn(context_.workers.at(0).io(), run(), net::detached);
}

state::window_number duty_runner::current_window() const
{
    auto const since_epoch = context_.clock.true_time().time_since_epoch();
    return state::window_number{since_epoch / context_.settings.usage_window};
}

bool duty_runner::lease_permits_calls() const
{
    return held_lease_ &&
           context_.tables.store_eras.current() ==
               coordination::era_of(held_lease_->record.lease.fencing) &&
           coordination::may_send_order(
               held_lease_->record.lease, context_.settings.id, state::fencing_mode::ignored,
               context_.clock.store_latest(), lease_);
}

void duty_runner::lose_lease(std::string_view reason)
{
    if (held_lease_)
        log(log_event::lease_lost,
            {{"fencing", std::to_string(held_lease_->record.lease.fencing.count())},
             {"why", std::string{reason}}});
    if (held_lease_ && held_lease_->is_stored)
        last_held_ = std::move(held_lease_->record);
    held_lease_.reset();
    copy_taken_at_.reset();
    placed_orders_.clear();
    peers_.step_down();
}

bool duty_runner::lookup_is_due() const
{
    return now() >= next_lookup_at_ && peers_.needs_holder(max_holder_silence);
}

net::awaitable<void> duty_runner::run()
{
    auto& io = context_.workers.at(0).io();
    started_at_ = now();
    co_await read_stored_state();
    next_lookup_at_ = now() + lookup_jitter();
    while (context_.phase == stop_phase::running)
    {
        co_await sleep_for(io, check_interval);
        if (holds_lease())
            co_await perform_duties();
        else if (lookup_is_due())
            co_await find_holder();
    }
    co_await release_lease();
    lose_lease("stopping");
}

net::awaitable<void> duty_runner::release_lease()
{
    if (!held_lease_)
        co_return;
    auto record = held_lease_->record;
    record.lease =
        coordination::released_lease(record.lease, context_.clock.store_earliest(), acted_until_);
    co_await save_record(std::move(record));
}

net::awaitable<void> duty_runner::read_stored_state()
{
    // The stored holder may have ended together with all others, so it is not followed yet.
    co_await read_rows();
    has_read_stored_state_ = true;
}

net::awaitable<std::optional<duty_runner::duty_rows>> duty_runner::read_rows()
{
    table_name const table{duty_table_name};
    auto const listing =
        co_await context_.ports.store.read_table(table, context_.settings.store_timeout);
    if (!listing)
    {
        failed_lookups_ = std::min(failed_lookups_ + 1, max_counted_failed_lookups);
        next_lookup_at_ += failed_lookups_ * lookup_interval;
        co_return std::nullopt;
    }
    failed_lookups_ = 0;
    if (!observe_store(context_, listing.value()))
        co_return std::nullopt;
    duty_rows rows;
    rows.record.reported_through = state::window_number{current_window().count() - 1};
    for (auto const& row : listing.value().rows)
    {
        if (row.key == quarantine_store::key)
            quarantine_store_.apply(row);
        if (row.key != duty_key)
            continue;
        rows.version = row.version;
        if (auto decoded = protocol::decode_duty_record(row.value))
            rows.record = std::move(*decoded);
        else
            log(log_event::duty_call_failed,
                {{"call", "read_lease"}, {"result", "unreadable_row"}});
        rows.reading.row = rows.record.lease;
    }
    rows.reading.read_at = {listing.value().era, listing.value().version};
    rows.reading.era_age = now() - context_.tables.store_eras.first_seen_at().value_or(now());
    if (last_held_)
        rows.reading.last_held = last_held_->lease;
    co_return rows;
}

coordination::lease_claim duty_runner::claim_of(duty_rows const& rows) const
{
    return coordination::claim_lease(
        rows.reading, context_.settings.id, context_.clock.store_earliest(), lease_);
}

net::awaitable<void> duty_runner::find_holder()
{
    next_lookup_at_ = now() + lookup_interval + lookup_jitter();
    auto const rows = co_await read_rows();
    if (!rows)
        co_return;
    auto const claim = claim_of(*rows);
    if (auto const* of_row = std::get_if<coordination::claim_of_row>(&claim))
        co_await acquire_lease(rows->record, of_row->lease, rows->version);
    else if (auto const* of_copy = std::get_if<coordination::claim_of_copy>(&claim))
    {
        auto remaining = continued_from_copy(rows->record);
        copy_taken_at_ = now();
        co_await acquire_lease(std::move(remaining), of_copy->lease, rows->version);
    }
    else if (auto const* of_last = std::get_if<coordination::claim_of_last_holder>(&claim))
        co_await acquire_lease(*last_held_, of_last->lease, rows->version);
    else if (auto const* barred = std::get_if<coordination::claim_barred>(&claim))
        record_barred_claim(*rows, barred->until);
    else
        follow_other_holder(*rows);
}

void duty_runner::record_barred_claim(duty_rows const& rows, state::wall_time until)
{
    context_.tables.counters.increment(state::event_counter::duty_claims_barred);
    auto const wait = until - context_.clock.store_earliest();
    log(log_event::lease_barred,
        {{"holder", rows.record.lease.holder.str()}, {"for_ms", std::to_string(wait.count())}});
}

void duty_runner::follow_other_holder(duty_rows const& rows)
{
    auto const& lease = rows.record.lease;
    if (!rows.reading.row || lease.holder == context_.settings.id)
        return;
    // A copy may name an earlier holder than the one that is known.
    bool const is_copy = coordination::era_of(lease.fencing) < rows.reading.read_at.era;
    if (!is_copy || peers_.holder().empty())
        follow(rows.record);
}

coordination::duty_record duty_runner::continued_from_copy(coordination::duty_record record) const
{
    // The window that is still open can't have been reported, whatever another instance says.
    auto const acknowledged = context_.tables.acknowledged.current().reported_through;
    auto const last_ended = state::window_number{current_window().count() - 1};
    auto const era_age = now() - context_.tables.store_eras.first_seen_at().value_or(now());
    auto const era_seen_at = context_.clock.true_time() -
                             std::chrono::duration_cast<state::wall_time::duration>(era_age);
    coordination::copy_knowledge const known{
        std::min(acknowledged, last_ended),
        coordination::last_ended_window(era_seen_at, context_.settings.usage_window)};
    return coordination::continued_from_copy(std::move(record), known);
}

void duty_runner::follow(coordination::duty_record const& record)
{
    // The row can't change hands before the lease ends, unless its holder releases it and says so.
    bool const is_silent_holder = peers_.holder() == record.lease.holder;
    peers_.follow(record.lease.holder, record.holder_address);
    if (!is_silent_holder)
        return;
    state::duration const left =
        record.lease.until - context_.clock.store_earliest() + max_clock_error;
    auto const lease_ends_at = now() + std::max(left, state::duration::zero());
    next_lookup_at_ = std::max(next_lookup_at_, lease_ends_at + lookup_jitter());
}

state::duration duty_runner::lookup_jitter()
{
    auto const range = coordination::paced_interval(
        shortest_lookup_jitter, longest_lookup_jitter, peers_.instance_count());
    std::uniform_int_distribution<std::int64_t> jitter(0, range.count());
    return state::duration{jitter(random_)};
}

net::awaitable<void> duty_runner::acquire_lease(
    coordination::duty_record record, state::lease_record new_lease, state::row_version version)
{
    auto const previous_holder = record.lease.holder;
    acted_until_ = coordination::inherited_acted_until(record.lease, context_.settings.id);
    context_.tables.usage.merge(record.usage);
    held_lease_ = held_lease{record, version, false};
    record.lease = new_lease;
    record.holder_address = context_.settings.peer_listen;
    if (!co_await save_record(std::move(record)))
        co_return;
    peers_.serve_as_holder();
    quarantine_store_.invalidate();
    log(log_event::lease_taken,
        {{"fencing", std::to_string(new_lease.fencing.count())},
         {"before", previous_holder.str()},
         {"reported_through", std::to_string(held_lease_->record.reported_through.count())}});
}

net::awaitable<bool> duty_runner::save_record(coordination::duty_record record)
{
    auto const first = state::window_number{record.reported_through.count() + 1};
    record.usage = context_.tables.usage.since(first);
    conditional_write write;
    write.table = table_name{duty_table_name};
    write.key = duty_key;
    write.value = protocol::encode_duty_record(record);
    write.expected_version = held_lease_->version;
    auto const result = co_await context_.ports.store.write(write, context_.settings.store_timeout);
    if (auto const* applied = std::get_if<write_applied>(&result))
    {
        bool const same_era = observe_store(context_, *applied) &&
                              applied->era == coordination::era_of(record.lease.fencing);
        if (!same_era)
        {
            // The version that the row was expected to have is that of another row by now.
            lose_lease("store_restored");
            co_return false;
        }
        held_lease_ = held_lease{std::move(record), applied->version, true};
        renewed_at_ = now();
        next_renewal_at_ = renewed_at_;
        co_return true;
    }
    if (std::holds_alternative<write_conflicted>(result))
    {
        lose_lease("another_write");
        co_return false;
    }
    auto const error = std::get<store_error>(result);
    // A refused write was not applied, so a lease that is in force stays valid until it ends.
    bool const keeps_lease = error == store_error::refused && peers_.is_holder();
    if (keeps_lease)
        next_renewal_at_ = now() + renewal_retry_delay;
    else // A write without a response may have been applied, so the row has to be read again.
        lose_lease(name_of(error));
    co_return false;
}

net::awaitable<void> duty_runner::perform_duties()
{
    auto const lease_era = coordination::era_of(held_lease_->record.lease.fencing);
    if (context_.tables.store_eras.current() != lease_era)
    {
        lose_lease("store_restored");
        next_lookup_at_ = now();
        co_return;
    }
    if (copy_taken_at_ && !held_lease_->record.pending)
        held_lease_->record = continued_from_copy(std::move(held_lease_->record));
    auto record = held_lease_->record;
    auto const new_lease = coordination::lease_to_write(
        record.lease, context_.settings.id, context_.clock.store_latest(), lease_);
    if (!new_lease || new_lease->fencing != record.lease.fencing)
    {
        lose_lease("expired");
        co_return;
    }
    if (record.pending && lease_permits_calls())
    {
        context_.tables.acknowledged.merge({record.pending->window, {}});
        // The others learn of the report before it is sent, so that they do not report the window
        // again if the store loses the row together with this instance.
        if (now() - usage_stored_at_ < publication_time)
            co_return;
        co_await report_usage();
        co_return;
    }
    if (now() < next_renewal_at_)
        co_return;
    if (lease_permits_calls())
        co_await quarantine_store_.save_changes(table_name{duty_table_name});
    if (!held_lease_)
        co_return;
    bool const usage_is_due = !record.pending && coordination::usage_is_due(progress());
    if (usage_is_due)
    {
        auto const window = state::window_number{record.reported_through.count() + 1};
        record.pending = coordination::pending_usage{window, context_.tables.usage.total(window)};
        usage_stored_at_ = now();
    }
    bool const renewal_is_due = now() - renewed_at_ >= lease_.length / renewals_per_lease;
    if (!usage_is_due && !renewal_is_due)
    {
        co_await order_fleet();
        co_return;
    }
    record_initial_fleet(record);
    record.lease = *new_lease;
    co_await save_record(std::move(record));
}

void duty_runner::record_initial_fleet(coordination::duty_record& record) const
{
    auto const routes = context_.tables.routes.current();
    if (!routes || now() - started_at_ < initial_listing_time)
        return;
    for (auto const& service : routes->services())
    {
        if (!service.fleet)
            continue;
        bool const is_recorded = std::any_of(
            record.initial_fleet.begin(), record.initial_fleet.end(),
            [&](auto const& entry) { return entry.first.service == service.id; });
        if (is_recorded)
            continue;
        for (auto const& [group, count] :
             coordination::ready_engines(context_.tables.servers.all(service.id)))
            if (!group.reclaimable)
                record.initial_fleet[group] = count;
    }
}

net::awaitable<void> duty_runner::order_fleet()
{
    auto const routes = context_.tables.routes.current();
    if (!routes || now() - planned_at_ < plan_period)
        co_return;
    planned_at_ = now();
    auto const evacuated = [this]
    { return context_.tables.evacuations.current().value_or(state::evacuations{}).domains; };
    for (auto const& service : routes->services())
    {
        if (!service.fleet)
            continue;
        auto const ready = coordination::ready_engines(context_.tables.servers.all(service.id));
        auto const plan = coordination::plan_fleet(
            service, held_lease_->record.initial_fleet, ready, evacuated());
        for (auto const& [group, count] : plan)
        {
            auto const placed = placed_orders_.find(group);
            auto const running = ready.find(group);
            bool const is_due = coordination::order_is_due(
                placed == placed_orders_.end() ? std::nullopt : std::optional{placed->second},
                count, running == ready.end() ? 0 : running->second, service.fleet->startup_time,
                now());
            if (!is_due)
                continue;
            if (!lease_permits_calls())
                co_return;
            // The domain may have been evacuated during the orders before.
            if (evacuated().contains(group.failure_domain))
                continue;
            co_await place_order(group, count);
            if (!held_lease_)
                co_return;
        }
    }
}

net::awaitable<void> duty_runner::place_order(state::fleet_group group, std::int64_t count)
{
    auto const lease = held_lease_->record.lease;
    auto const result =
        co_await context_.ports.fleet.order_engines(lease, group, count, duty_call_timeout);
    acted_until_ = context_.clock.store_latest();
    bool const accepted = result == duty_result::accepted;
    placed_orders_[group] = {count, now(), accepted};
    context_.tables.counters.increment(state::event_counter::fleet_orders_sent);
    log(accepted ? log_event::fleet_ordered : log_event::duty_call_failed,
        {{"call", "order"},
         {"service", group.service.str()},
         {"failure_domain", group.failure_domain.str()},
         {"reclaimable", group.reclaimable ? "yes" : "no"},
         {"count", std::to_string(count)},
         {"result", std::string{name_of(result)}},
         {"fencing", std::to_string(lease.fencing.count())}});
}

coordination::usage_progress duty_runner::progress() const
{
    coordination::usage_progress p;
    p.reported_through = held_lease_->record.reported_through;
    p.current = current_window();
    auto const next = p.reported_through.count() + 1;
    auto const end = (next + 1) * context_.settings.usage_window;
    p.since_end = context_.clock.true_time().time_since_epoch() - end;
    auto const peers = context_.tables.instance_reports.all();
    auto const counted = std::count_if(
        peers.begin(), peers.end(),
        [&](auto const& peer) { return peer.details.usage_complete_until >= end; });
    p.counted_instances = static_cast<std::uint64_t>(counted) + 1; // and this one
    p.known_instances = peers_.instance_count();
    if (copy_taken_at_)
        p.since_copy_taken = now() - *copy_taken_at_;
    return p;
}

net::awaitable<void> duty_runner::report_usage()
{
    auto const pending = *held_lease_->record.pending;
    auto const lease = held_lease_->record.lease;
    auto const result = co_await context_.ports.fleet.report_usage(
        lease, pending.window, pending.counts, duty_call_timeout);
    acted_until_ = context_.clock.store_latest();
    if (result != duty_result::accepted)
    {
        log(log_event::duty_call_failed,
            {{"call", "report_usage"}, {"window", std::to_string(pending.window.count())}});
        co_return;
    }
    context_.tables.counters.increment(state::event_counter::usage_reports_sent);
    log(log_event::usage_reported, {{"window", std::to_string(pending.window.count())},
                                    {"organisations", std::to_string(pending.counts.size())},
                                    {"fencing", std::to_string(lease.fencing.count())}});
    if (!held_lease_)
        co_return;
    held_lease_->record.reported_through = pending.window;
    held_lease_->record.pending.reset();
}

} // namespace auburnweir::transport
