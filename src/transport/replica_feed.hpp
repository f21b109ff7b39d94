#ifndef AUBURNWEIR_TRANSPORT_REPLICA_FEED_HPP
#define AUBURNWEIR_TRANSPORT_REPLICA_FEED_HPP

#include "transport/entry_context.hpp"
#include "transport/journal_watch.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace auburnweir::transport
{

/// Result of replicating one journal to one replica.
enum class feed_end
{
    finished,
    replica_lost,
    superseded ///< another instance drives the request
};

/// State of a journal that is replicated to one replica. Not thread-safe: used by one worker.
class replicated_journal
{
public:
    replicated_journal(net::io_context& io, state::journal_ptr journal)
        : journal_(std::move(journal))
        , ended_(std::make_shared<async_signal>(io))
    {
    }

    /// Waits until replication ends. Until then tokens are released as the replica confirms them.
    net::awaitable<feed_end> wait_for_end();

private:
    friend class replica_feed;

    void end(feed_end result);

    state::journal_ptr journal_;
    signal_ptr ended_;
    state::sequence_number sent_upto_;
    bool queued_ = false;
    std::optional<feed_end> end_;
};

/// Sends the tokens of one worker's journals to one replica, with many journals in a message.
///
/// A feed with little traffic sends at once. A feed with more delays its messages for a short time
/// to batch journals, so that they share the cost of a message and its ack. Not thread-safe; runs
/// on its worker.
class replica_feed : public std::enable_shared_from_this<replica_feed>
{
public:
    replica_feed(entry_context& context, worker& home, state::instance replica);

    /// Replicates a journal until it ends. The replica must have got `journal_open` before.
    std::shared_ptr<replicated_journal> attach(state::journal_ptr journal);

    /// Queues a journal if it has tokens or an end to send.
    void journal_changed(std::shared_ptr<replicated_journal> const& replicated);

private:
    using journal_list = std::vector<std::shared_ptr<replicated_journal>>;

    net::awaitable<void> send_queued_journals();
    net::awaitable<void> send_batch();
    protocol::journal_batch collect_batch(journal_list& batch_journals);

    /// Releases the tokens if the replica does not respond within `replica_wait`.
    void release_after_timeout(
        journal_list const& batch_journals, std::shared_ptr<bool> call_has_ended);
    void apply_ack(journal_list const& batch_journals, protocol::journal_ack const* ack);

    entry_context& context_;
    worker& worker_;
    state::instance replica_;
    journal_list queued_journals_;
    bool is_sending_ = false;
    state::time_point last_sent_at_{};
    std::size_t last_append_count_ = 0; ///< number of journals in the last message
};

/// Feeds of one worker, by replica.
class replica_feeds
{
public:
    /// The worker's feed to a replica; created on first use.
    std::shared_ptr<replica_feed> feed_for(
        entry_context& context, worker& home, state::instance const& replica);

private:
    std::map<state::instance_id, std::shared_ptr<replica_feed>> feeds_;
};

} // namespace auburnweir::transport

#endif
