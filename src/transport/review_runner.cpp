#include "transport/review_runner.hpp"

#include "protocol/chat_codec.hpp"
#include "protocol/digest.hpp"
#include "protocol/record_codec.hpp"
#include "transport/chat_driver.hpp"
#include "transport/clock.hpp"
#include "transport/journal_watch.hpp"
#include "transport/log.hpp"
#include "transport/review_store.hpp"

namespace auburnweir::transport
{

namespace
{

constexpr std::size_t rows_per_scan = 32;
constexpr int max_running_reviews = 8;
constexpr int renewals_per_lease = 3;
constexpr std::size_t object_suffix_bytes = 8;
constexpr std::size_t instances_at_full_scan_rate = 8;

} // namespace

review_runner::review_runner(entry_context& context)
    : context_(context)
    , worker_(context.workers.at(0))
{
}

void review_runner::scan()
{
    // Each instance scans less often in a large deployment, so that the total rate does not grow.
    auto const instances = context_.tables.instances.live().size();
    auto const scans_to_skip = static_cast<int>(instances / instances_at_full_scan_rate);
    if (++skipped_scans_ <= scans_to_skip)
        return;
    skipped_scans_ = 0;
    if (scanning_ || running_count_ >= max_running_reviews || context_.stopping)
        return;
    scanning_ = true;
    net::co_spawn(worker_.io(), scan_rows(), net::detached);
}

net::awaitable<void> review_runner::scan_rows()
{
    auto platform = context_.platform(worker_);
    auto const rows =
        co_await platform.scan(std::string{protocol::review_key_prefix}, cursor_, rows_per_scan);
    if (rows)
    {
        bool const at_end = rows->size() < rows_per_scan;
        cursor_ = at_end ? std::string{} : rows->back().key.str();
        for (auto const& row : *rows)
        {
            if (running_count_ >= max_running_reviews)
                break;
            co_await try_claim(row);
        }
    }
    scanning_ = false;
}

net::awaitable<void> review_runner::try_claim(state::table_row row)
{
    auto const record = protocol::decode_review_record(row.value);
    if (!record)
        co_return;
    auto const load = context_.tables.admission.load(record.value().service);
    auto const claim =
        coordination::next_claim(record.value(), context_.self.id, load, wall_now(), settings_);
    if (!claim)
        co_return;
    state::table_write write{row.key, row.version, protocol::encode(*claim)};
    auto const written = co_await context_.ledger.write(worker_, std::move(write));
    auto const* done = std::get_if<state::write_done>(&written);
    if (!done)
        co_return;
    context_.tables.counters.increment(state::event_counter::reviews_claimed);
    log(log_event::review_claimed, {{"request", claim->id.str()}});
    ++running_count_;
    net::co_spawn(worker_.io(), run(*claim, done->version), net::detached);
}

net::awaitable<void> review_runner::run(state::review_record claim, state::row_version version)
{
    auto const active = context_.activity.begin();
    auto const body = co_await generate_answer(claim, version);
    bool finished = false;
    if (body)
    {
        auto const object = "answers/" + claim.organisation.str() + "/" + claim.id.str() + "/" +
                            protocol::random_hex(object_suffix_bytes);
        auto platform = context_.platform(worker_);
        bool const stored = co_await platform.put_object(object, *body);
        auto const done =
            coordination::finished_review(claim, context_.self.id, claim.fencing, object);
        finished = stored && done && co_await finish_review(context_, worker_, version, *done);
    }
    if (finished)
    {
        context_.tables.counters.increment(state::event_counter::reviews_completed);
        log(log_event::review_finished, {{"request", claim.id.str()}});
    }
    else
        log(log_event::review_failed, {{"request", claim.id.str()}});
    --running_count_;
}

net::awaitable<std::optional<std::string>> review_runner::generate_answer(
    state::review_record& claim, state::row_version& version)
{
    auto platform = context_.platform(worker_);
    auto const stored = co_await platform.read_object(claim.body_object);
    if (!stored)
        co_return std::nullopt;
    auto request = protocol::decode_stored_chat(*stored);
    if (!request)
        co_return std::nullopt;
    auto const journal = std::make_shared<state::journal>(
        std::move(request.value()), context_.self.id, new_generation_tag());
    auto const driver = std::make_shared<chat_driver>(context_, worker_, journal, admission_slot{});
    driver->continue_without_reader();
    driver->start();
    journal_watch watch(worker_.io(), journal, state::journal_change::written);
    auto const renew_period = settings_.lease / renewals_per_lease;
    auto next_renewal = now() + renew_period;
    while (!journal->finished())
    {
        journal->record_delivered(journal->last());
        co_await watch.wait(renew_period);
        if (now() < next_renewal)
            continue;
        next_renewal = now() + renew_period;
        bool const claim_is_held = co_await renew_claim(claim, version);
        if (!claim_is_held)
        {
            journal->yield_to(state::instance_id{});
            co_return std::nullopt;
        }
    }
    if (journal->finished() == state::finish_reason::failed)
        co_return std::nullopt;
    auto const tokens = static_cast<std::int64_t>(journal->last().count());
    co_return protocol::encode_chat_answer(
        journal->request(), journal->text(), state::token_count{tokens}, *journal->finished());
}

net::awaitable<bool> review_runner::renew_claim(
    state::review_record& claim, state::row_version& version)
{
    auto const renewed =
        coordination::renewed_claim(claim, context_.self.id, claim.fencing, wall_now(), settings_);
    if (!renewed)
        co_return false;
    auto const key = protocol::review_key(claim.organisation, claim.id);
    state::table_write write{key, version, protocol::encode(*renewed)};
    auto const written = co_await context_.ledger.write(worker_, std::move(write));
    if (auto const* done = std::get_if<state::write_done>(&written))
    {
        claim = *renewed;
        version = done->version;
        co_return true;
    }
    if (auto const* conflict = std::get_if<state::write_conflict>(&written))
    {
        // An earlier renewal whose response was lost may have taken effect.
        auto const current = protocol::decode_review_record(conflict->current.value);
        bool const is_own_claim =
            current && coordination::renewed_claim(
                           current.value(), context_.self.id, claim.fencing, wall_now(), settings_);
        if (is_own_claim)
            version = conflict->current.version;
        co_return is_own_claim;
    }
    // Unknown outcome: the lease has not expired, and the final write is conditional.
    co_return true;
}

} // namespace auburnweir::transport
