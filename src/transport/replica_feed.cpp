#include "transport/replica_feed.hpp"

#include "transport/clock.hpp"

namespace auburnweir::transport
{

namespace
{

constexpr state::duration longest_gap = std::chrono::milliseconds{2};
constexpr state::duration gap_per_append = std::chrono::microseconds{40};
constexpr state::duration ack_limit = std::chrono::milliseconds{500};
constexpr state::duration longest_wait = std::chrono::hours{1};

} // namespace

net::awaitable<feed_end> fed_journal::wait_for_end()
{
    while (!end_)
        co_await ended_->wait(longest_wait);
    co_return *end_;
}

void fed_journal::end(feed_end how)
{
    if (end_)
        return;
    end_ = how;
    ended_->notify();
}

replica_feed::replica_feed(entry_context& context, worker& home, state::instance replica)
    : context_(context)
    , home_(home)
    , replica_(std::move(replica))
{
}

std::shared_ptr<fed_journal> replica_feed::attach(state::journal_ptr journal)
{
    auto fed = std::make_shared<fed_journal>(home_.io(), std::move(journal));
    changed(fed);
    return fed;
}

void replica_feed::changed(std::shared_ptr<fed_journal> const& fed)
{
    bool const news = fed->journal_->last() > fed->sent_ || fed->journal_->finished();
    if (fed->queued_ || fed->end_ || !news)
        return;
    fed->queued_ = true;
    waiting_.push_back(fed);
    if (std::exchange(pumping_, true))
        return;
    net::co_spawn(
        home_.io(), [self = shared_from_this()] { return self->pump(); }, net::detached);
}

net::awaitable<void> replica_feed::pump()
{
    while (!waiting_.empty())
    {
        auto const gap = std::min<state::duration>(
            longest_gap, gap_per_append * static_cast<std::int64_t>(last_appends_));
        auto const since = now() - last_sent_;
        if (last_appends_ > 1 && since < gap)
            co_await sleep_for(home_.io(), gap - since);
        last_sent_ = now();
        co_await send_batch();
    }
    pumping_ = false;
}

protocol::journal_batch replica_feed::take_batch(fed_list& sending)
{
    sending.swap(waiting_);
    last_appends_ = sending.size();
    protocol::journal_batch batch;
    for (auto const& fed : sending)
    {
        fed->queued_ = false;
        auto const& header = fed->journal_->request().header;
        auto part = fed->journal_->read_unreleased_after(fed->sent_);
        batch.appends.push_back({{header.organisation, header.id}, std::move(part)});
    }
    return batch;
}

net::awaitable<void> replica_feed::send_batch()
{
    fed_list sending;
    auto batch = take_batch(sending);
    std::vector<bool> finished;
    for (std::size_t i = 0; i < sending.size(); ++i)
    {
        sending[i]->sent_ += state::sequence_number{batch.appends[i].chunk.tokens.size()};
        finished.push_back(batch.appends[i].chunk.finish.has_value());
    }
    auto const make = [&batch](protocol::correlation_id number)
    {
        batch.call_id = number;
        return protocol::peer_message{std::move(batch)};
    };
    auto const acked = std::make_shared<bool>(false);
    release_late(sending, acked);
    auto const answer = co_await context_.peers.call(home_.io(), replica_, make, ack_limit);
    *acked = true;
    auto const* ack = answer ? std::get_if<protocol::journal_ack>(&*answer) : nullptr;
    take_ack(sending, ack);
    for (std::size_t i = 0; i < sending.size(); ++i)
    {
        if (finished[i])
            sending[i]->end(feed_end::finished);
        else
            changed(sending[i]);
    }
}

void replica_feed::release_late(fed_list const& sending, std::shared_ptr<bool> acked)
{
    auto const timer =
        std::make_shared<net::steady_timer>(home_.io(), context_.settings.replica_wait);
    timer->async_wait(
        [sending, acked, timer](error_code fault)
        {
            if (fault || *acked)
                return;
            for (auto const& fed : sending)
                fed->journal_->release(fed->sent_);
        });
}

void replica_feed::take_ack(fed_list const& sending, protocol::journal_ack const* ack)
{
    for (std::size_t i = 0; i < sending.size(); ++i)
    {
        auto& fed = *sending[i];
        bool const answered = ack && i < ack->appends.size();
        auto const status = answered ? ack->appends[i].status : protocol::ack_status::unknown;
        switch (status)
        {
        case protocol::ack_status::unknown:
            fed.end(feed_end::replica_lost);
            break;
        case protocol::ack_status::superseded:
            fed.end(feed_end::superseded);
            break;
        case protocol::ack_status::accepted:
            fed.journal_->release(fed.sent_);
            if (ack->appends[i].read_recently)
                fed.journal_->record_read(now());
            break;
        }
    }
}

std::shared_ptr<replica_feed> replica_feeds::feed_to(
    entry_context& context, worker& home, state::instance const& replica)
{
    auto& feed = feeds_[replica.id];
    if (!feed)
        feed = std::make_shared<replica_feed>(context, home, replica);
    return feed;
}

} // namespace auburnweir::transport
