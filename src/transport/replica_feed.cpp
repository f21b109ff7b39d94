#include "transport/replica_feed.hpp"

#include "transport/clock.hpp"

namespace auburnweir::transport
{

namespace
{

constexpr state::duration max_batch_delay = std::chrono::milliseconds{2};
constexpr state::duration batch_delay_per_append = std::chrono::microseconds{40};
constexpr state::duration ack_timeout = std::chrono::milliseconds{500};
constexpr state::duration end_wait_interval = std::chrono::hours{1};

} // namespace

net::awaitable<feed_end> replicated_journal::wait_for_end()
{
    while (!end_)
        co_await ended_->wait(end_wait_interval);
    co_return *end_;
}

void replicated_journal::end(feed_end result)
{
    if (end_)
        return;
    end_ = result;
    ended_->notify();
}

replica_feed::replica_feed(entry_context& context, worker& home, state::instance replica)
    : context_(context)
    , worker_(home)
    , replica_(std::move(replica))
{
}

std::shared_ptr<replicated_journal> replica_feed::attach(state::journal_ptr journal)
{
    auto replicated = std::make_shared<replicated_journal>(worker_.io(), std::move(journal));
    journal_changed(replicated);
    return replicated;
}

void replica_feed::journal_changed(std::shared_ptr<replicated_journal> const& replicated)
{
    bool const has_unsent =
        replicated->journal_->last() > replicated->sent_upto_ || replicated->journal_->finished();
    if (replicated->queued_ || replicated->end_ || !has_unsent)
        return;
    replicated->queued_ = true;
    queued_journals_.push_back(replicated);
    if (std::exchange(is_sending_, true))
        return;
    net::co_spawn(
        worker_.io(), [self = shared_from_this()] { return self->send_queued_journals(); },
        net::detached);
}

net::awaitable<void> replica_feed::send_queued_journals()
{
    while (!queued_journals_.empty())
    {
        auto const batch_delay = std::min<state::duration>(
            max_batch_delay,
            batch_delay_per_append * static_cast<std::int64_t>(last_append_count_));
        auto const time_since_send = now() - last_sent_at_;
        if (last_append_count_ > 1 && time_since_send < batch_delay)
            co_await sleep_for(worker_.io(), batch_delay - time_since_send);
        last_sent_at_ = now();
        co_await send_batch();
    }
    is_sending_ = false;
}

protocol::journal_batch replica_feed::collect_batch(journal_list& batch_journals)
{
    batch_journals.swap(queued_journals_);
    last_append_count_ = batch_journals.size();
    protocol::journal_batch batch;
    for (auto const& replicated : batch_journals)
    {
        replicated->queued_ = false;
        auto const& header = replicated->journal_->request().header;
        auto chunk = replicated->journal_->read_unreleased_after(replicated->sent_upto_);
        batch.appends.push_back({{header.organisation, header.id}, std::move(chunk)});
    }
    return batch;
}

net::awaitable<void> replica_feed::send_batch()
{
    journal_list batch_journals;
    auto batch = collect_batch(batch_journals);
    std::vector<bool> finished;
    for (std::size_t i = 0; i < batch_journals.size(); ++i)
    {
        batch_journals[i]->sent_upto_ +=
            state::sequence_number{batch.appends[i].chunk.tokens.size()};
        finished.push_back(batch.appends[i].chunk.finish.has_value());
    }
    auto const make = [&batch](protocol::correlation_id number)
    {
        batch.call_id = number;
        return protocol::peer_message{std::move(batch)};
    };
    auto const call_has_ended = std::make_shared<bool>(false);
    release_after_timeout(batch_journals, call_has_ended);
    auto const message = co_await context_.peers.call(worker_.io(), replica_, make, ack_timeout);
    *call_has_ended = true;
    auto const* ack = message ? std::get_if<protocol::journal_ack>(&*message) : nullptr;
    apply_ack(batch_journals, ack);
    for (std::size_t i = 0; i < batch_journals.size(); ++i)
    {
        if (finished[i])
            batch_journals[i]->end(feed_end::finished);
        else
            journal_changed(batch_journals[i]);
    }
}

void replica_feed::release_after_timeout(
    journal_list const& batch_journals, std::shared_ptr<bool> call_has_ended)
{
    auto const timer =
        std::make_shared<net::steady_timer>(worker_.io(), context_.settings.replica_wait);
    timer->async_wait(
        [batch_journals, call_has_ended, timer](error_code error)
        {
            if (error || *call_has_ended)
                return;
            for (auto const& replicated : batch_journals)
                replicated->journal_->release(replicated->sent_upto_);
        });
}

void replica_feed::apply_ack(journal_list const& batch_journals, protocol::journal_ack const* ack)
{
    for (std::size_t i = 0; i < batch_journals.size(); ++i)
    {
        auto& replicated = *batch_journals[i];
        bool const has_status = ack && i < ack->appends.size();
        auto const status = has_status ? ack->appends[i].status : protocol::ack_status::unknown;
        switch (status)
        {
        case protocol::ack_status::unknown:
            replicated.end(feed_end::replica_lost);
            break;
        case protocol::ack_status::superseded:
            replicated.end(feed_end::superseded);
            break;
        case protocol::ack_status::accepted:
            replicated.journal_->release(replicated.sent_upto_);
            if (ack->appends[i].read_recently)
                replicated.journal_->record_read(now());
            break;
        }
    }
}

std::shared_ptr<replica_feed> replica_feeds::feed_for(
    entry_context& context, worker& home, state::instance const& replica)
{
    auto& feed = feeds_[replica.id];
    if (!feed)
        feed = std::make_shared<replica_feed>(context, home, replica);
    return feed;
}

} // namespace auburnweir::transport
