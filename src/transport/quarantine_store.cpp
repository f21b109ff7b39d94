#include "transport/quarantine_store.hpp"

#include "protocol/quarantine_record_codec.hpp"
#include "transport/attempt_recorder.hpp"
#include "transport/log.hpp"
#include "transport/store_observer.hpp"

namespace auburnweir::transport
{

namespace
{

/// Delay before verdicts whose write failed are written again.
constexpr state::duration retry_delay = std::chrono::seconds{1};

} // namespace

void quarantine_store::apply(stored_row const& row)
{
    auto record = protocol::decode_quarantine_record(row.value);
    if (!record)
    {
        log(log_event::duty_call_failed,
            {{"call", "read_quarantine"}, {"result", "unreadable_row"}});
        return;
    }
    auto const age = std::max(
        context_.clock.store_earliest() - record->saved_at, state::wall_time::duration::zero());
    record_verdict_changes(
        context_, context_.tables.segment_quarantine.restore(record->evidence, now() - age));
}

net::awaitable<void> quarantine_store::save_changes(table_name table)
{
    auto const& quarantine = context_.tables.segment_quarantine;
    auto const current = quarantine.current_snapshot();
    if (current == saved_.value_or(coordination::snapshot_version{}) || now() < next_save_at_)
        co_return;
    auto evidence = quarantine.snapshot(max_crashes, now());
    auto const segments = evidence.verdicts.size();
    evidence.verdicts = coordination::groups_that_fit(std::move(evidence.verdicts), max_segments);
    context_.tables.counters.increment(
        state::event_counter::quarantined_segments_not_stored, segments - evidence.verdicts.size());
    conditional_write write;
    write.table = std::move(table);
    write.key = key;
    write.value =
        protocol::encode_quarantine_record({context_.clock.store_earliest(), std::move(evidence)});
    auto const result = co_await context_.ports.store.write(write, context_.settings.store_timeout);
    if (auto const* applied = std::get_if<write_applied>(&result))
    {
        if (observe_store(context_, *applied))
            saved_ = current;
        co_return;
    }
    next_save_at_ = now() + retry_delay;
    log(log_event::duty_call_failed, {{"call", "save_quarantine"}});
}

} // namespace auburnweir::transport
