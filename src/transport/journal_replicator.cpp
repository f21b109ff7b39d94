#include "transport/journal_replicator.hpp"

#include "coordination/journal_placement.hpp"
#include "transport/clock.hpp"
#include "transport/log.hpp"

namespace auburnweir::transport
{

namespace
{

constexpr state::duration open_limit = std::chrono::milliseconds{500};
constexpr state::duration append_limit = std::chrono::milliseconds{500};
constexpr state::duration follow_period = std::chrono::milliseconds{30};
constexpr state::duration idle_period = std::chrono::seconds{1};
constexpr std::size_t most_replicas_tried = 4;
constexpr int most_failed_reads = 100;

} // namespace

journal_replicator::journal_replicator(
    entry_context& context, worker& home, state::journal_ptr journal)
    : context_(context)
    , home_(home)
    , journal_(std::move(journal))
    , changed_(std::make_shared<async_signal>(home.io()))
{
}

void journal_replicator::start()
{
    journal_->hold();
    net::co_spawn(
        home_.io(), [self = shared_from_this()] { return self->run(); }, net::detached);
}

protocol::journal_key journal_replicator::key() const
{
    auto const& header = journal_->request().header;
    return {header.organisation, header.id};
}

net::awaitable<void> journal_replicator::run()
{
    auto const listening = journal_->listen([changed = changed_] { changed->notify(); });
    auto const order = coordination::replica_order(
        journal_->request().header.id, context_.self, context_.tables.instances.live());
    auto result = feed_result::replica_lost;
    for (std::size_t i = 0; i < std::min(order.size(), most_replicas_tried); ++i)
    {
        auto const opened = co_await open_at(order[i]);
        if (opened == protocol::ack_status::accepted)
            result = co_await feed(order[i]);
        else if (opened == protocol::ack_status::superseded)
            result = feed_result::superseded;
        if (result == feed_result::superseded)
            co_await follow(order[i]);
        if (result != feed_result::replica_lost)
            break;
    }
    if (result == feed_result::replica_lost)
    {
        context_.tables.counters.increment(state::event_counter::journals_unreplicated);
        if (!order.empty())
            log(log_event::journal_unreplicated, {{"request", key().id.str()}});
    }
    journal_->release_all();
    journal_->unlisten(listening);
}

net::awaitable<protocol::ack_status> journal_replicator::open_at(state::instance replica)
{
    sent_ = state::sequence_number{0};
    auto const make = [this](protocol::correlation number)
    {
        return protocol::peer_message{
            protocol::journal_open{journal_->request(), journal_->lineage(), number}};
    };
    auto const answer = co_await context_.peers.ask(home_.io(), replica, make, open_limit);
    auto const* ack = answer ? std::get_if<protocol::journal_ack>(&*answer) : nullptr;
    co_return ack ? ack->status : protocol::ack_status::unknown;
}

net::awaitable<std::optional<protocol::journal_ack>>
journal_replicator::append_at(state::instance replica, state::journal_part part)
{
    auto const make = [this, &part](protocol::correlation number) {
        return protocol::peer_message{protocol::journal_append{key(), part, number}};
    };
    auto const first_limit = context_.settings.replica_wait;
    auto const answer = co_await context_.peers.ask(
        home_.io(), replica, make, std::max<state::duration>(append_limit, first_limit));
    if (!answer)
        co_return std::nullopt;
    auto const* ack = std::get_if<protocol::journal_ack>(&*answer);
    co_return ack ? std::optional{*ack} : std::nullopt;
}

net::awaitable<journal_replicator::feed_result> journal_replicator::feed(state::instance replica)
{
    for (;;)
    {
        auto const part = journal_->read_unreleased_after(sent_);
        if (part.tokens.empty() && !part.finish)
        {
            co_await changed_->wait(idle_period);
            continue;
        }
        auto const ack = co_await append_at(replica, part);
        if (!ack || ack->status == protocol::ack_status::unknown)
            co_return feed_result::replica_lost;
        if (ack->status == protocol::ack_status::superseded)
            co_return feed_result::superseded;
        sent_ = sent_ + state::sequence_number{part.tokens.size()};
        journal_->release(sent_);
        if (ack->read_recently)
            journal_->touch(now());
        if (part.finish)
            co_return feed_result::finished;
    }
}

net::awaitable<void> journal_replicator::follow(state::instance driver)
{
    journal_->yield_to(driver.id);
    int failed = 0;
    while (!journal_->finished() && failed < most_failed_reads)
    {
        auto const after = journal_->last();
        auto const make = [&](protocol::correlation number) {
            return protocol::peer_message{protocol::journal_read{key(), after, number}};
        };
        auto const answer = co_await context_.peers.ask(home_.io(), driver, make, open_limit);
        auto const* reply = answer ? std::get_if<protocol::journal_reply>(&*answer) : nullptr;
        bool const read = reply && reply->part;
        if (read)
            journal_->take_lineage(reply->lineage);
        auto const merged = read ? journal_->merge(*reply->part) : state::append_result::gap;
        if (merged == state::append_result::diverged)
            journal_->fail(state::refusal_reason::resume_point_unknown);
        failed = read ? 0 : failed + 1;
        if (merged != state::append_result::appended)
            co_await sleep_for(home_.io(), follow_period);
    }
    journal_->fail(state::refusal_reason::resume_point_unknown);
}

} // namespace auburnweir::transport
