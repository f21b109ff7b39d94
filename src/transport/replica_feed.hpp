#ifndef AUBURNWEIR_TRANSPORT_REPLICA_FEED_HPP
#define AUBURNWEIR_TRANSPORT_REPLICA_FEED_HPP

#include "transport/entry_context.hpp"
#include "transport/journal_watch.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace auburnweir::transport
{

/// How the feeding of one journal to its replica ended.
enum class feed_end
{
    finished,
    replica_lost,
    superseded ///< another instance drives the request
};

/// One journal on its way to a replica. Belongs to one worker.
class fed_journal
{
public:
    fed_journal(net::io_context& io, state::journal_ptr journal)
        : journal_(std::move(journal))
        , ended_(std::make_shared<async_signal>(io))
    {
    }

    /// Waits for the end. Until then tokens are released as the replica confirms them.
    net::awaitable<feed_end> wait_for_end();

private:
    friend class replica_feed;

    void end(feed_end how);

    state::journal_ptr journal_;
    signal_ptr ended_;
    state::sequence_number sent_;
    bool queued_ = false;
    std::optional<feed_end> end_;
};

/// Sends the tokens of one worker's journals to one replica, many answers in one message.
///
/// A quiet feed sends at once; a busy one gathers for a short time, so that the cost of a message
/// and its ack is shared. Not thread-safe; runs on its worker.
class replica_feed : public std::enable_shared_from_this<replica_feed>
{
public:
    replica_feed(entry_context& context, worker& home, state::instance replica);

    /// Feeds a journal until it ends. The journal must have been opened at the replica.
    std::shared_ptr<fed_journal> attach(state::journal_ptr journal);

    /// The journal has something new.
    void changed(std::shared_ptr<fed_journal> const& fed);

private:
    using fed_list = std::vector<std::shared_ptr<fed_journal>>;

    net::awaitable<void> pump();
    net::awaitable<void> send_batch();
    protocol::journal_batch take_batch(fed_list& sending);
    void release_late(fed_list const& sending, std::shared_ptr<bool> acked);
    void take_ack(fed_list const& sending, protocol::journal_ack const* ack);

    entry_context& context_;
    worker& home_;
    state::instance replica_;
    fed_list waiting_;
    bool pumping_ = false;
    state::time_point last_sent_{};
    std::size_t last_appends_ = 0; ///< in the last message
};

/// The feeds of one worker, by replica.
class replica_feeds
{
public:
    /// The worker's feed to a replica, made when it is first asked for.
    std::shared_ptr<replica_feed> feed_to(
        entry_context& context, worker& home, state::instance const& replica);

private:
    std::map<state::instance_id, std::shared_ptr<replica_feed>> feeds_;
};

} // namespace auburnweir::transport

#endif
