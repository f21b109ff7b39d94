#include "transport/journal_replicator.hpp"

#include "coordination/journal_placement.hpp"
#include "transport/clock.hpp"
#include "transport/log.hpp"

namespace auburnweir::transport
{

namespace
{

constexpr state::duration read_timeout = std::chrono::milliseconds{500};
constexpr state::duration follow_poll_interval = std::chrono::milliseconds{30};
constexpr std::size_t max_replicas_tried = 4;
constexpr int max_failed_reads = 100;

} // namespace

journal_replicator::journal_replicator(
    entry_context& context, worker& home, state::journal_ptr journal)
    : context_(context)
    , worker_(home)
    , journal_(std::move(journal))
{
}

void journal_replicator::start()
{
    journal_->hold();
    net::co_spawn(
        worker_.io(), [self = shared_from_this()] { return self->run(); }, net::detached);
}

protocol::journal_key journal_replicator::key() const
{
    auto const& header = journal_->request().header;
    return {header.organisation, header.id};
}

net::awaitable<void> journal_replicator::run()
{
    auto const order = coordination::replica_order(
        journal_->request().header.id, context_.self, context_.tables.instances.live());
    auto end = feed_end::replica_lost;
    for (std::size_t i = 0; i < std::min(order.size(), max_replicas_tried); ++i)
    {
        end = co_await feed(order[i]);
        if (end == feed_end::superseded)
            co_await follow_owner(order[i]);
        if (end != feed_end::replica_lost)
            break;
    }
    if (end == feed_end::replica_lost)
    {
        context_.tables.counters.increment(state::event_counter::journals_unreplicated);
        if (!order.empty())
            log(log_event::journal_unreplicated, {{"request", key().id.str()}});
    }
    journal_->release_all();
}

net::awaitable<feed_end> journal_replicator::feed(state::instance replica)
{
    context_.peers.send(replica, protocol::journal_open{journal_->request(), journal_->lineage()});
    auto const feed = worker_.feeds().feed_for(context_, worker_, replica);
    auto const replicated = feed->attach(journal_);
    journal_subscription const subscription(
        journal_, state::journal_change::written,
        [&io = worker_.io(), feed, replicated]
        { net::dispatch(io, [feed, replicated] { feed->journal_changed(replicated); }); });
    co_return co_await replicated->wait_for_end();
}

net::awaitable<void> journal_replicator::follow_owner(state::instance owner)
{
    journal_->yield_to(owner.id);
    int failed_reads = 0;
    while (!journal_->finished() && failed_reads < max_failed_reads)
    {
        auto const after = journal_->last();
        auto const make = [&](protocol::correlation_id number) {
            return protocol::peer_message{protocol::journal_read{key(), after, number}};
        };
        auto const message = co_await context_.peers.call(worker_.io(), owner, make, read_timeout);
        auto const* response =
            message ? std::get_if<protocol::journal_response>(&*message) : nullptr;
        bool const has_chunk = response && response->chunk;
        if (has_chunk)
            journal_->replace_lineage(response->lineage);
        auto const merged =
            has_chunk ? journal_->merge(*response->chunk) : state::append_result::gap;
        if (merged == state::append_result::diverged)
            journal_->fail(state::refusal_reason::resume_point_unknown);
        failed_reads = has_chunk ? 0 : failed_reads + 1;
        if (merged != state::append_result::appended)
            co_await sleep_for(worker_.io(), follow_poll_interval);
    }
    journal_->fail(state::refusal_reason::resume_point_unknown);
}

} // namespace auburnweir::transport
