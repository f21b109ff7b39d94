#ifndef AUBURNWEIR_TRANSPORT_PEER_EXCHANGE_HPP
#define AUBURNWEIR_TRANSPORT_PEER_EXCHANGE_HPP

#include "transport/directory_sync.hpp"
#include "transport/peer_links.hpp"

#include <deque>

namespace auburnweir::transport
{

/// Reports to the instance that holds the duties, and answers the others' reports where this one
/// holds them. One link an instance, so that links and messages grow with the deployment and not
/// with its square.
///
/// Without a holder an instance keeps to its part of shared limits. Thread-safe; its lock is taken
/// alone.
class peer_exchange
{
public:
    peer_exchange(gateway_context& context, peer_links& links, directory_sync& directory);

    void start();

    /// A message from a proved peer; on the links' thread.
    void receive(connection_number via, protocol::peer_message message);

    /// From now on reports go to `holder`.
    void follow(state::instance_id holder, state::endpoint address);

    /// From now on this instance answers reports.
    void lead();

    /// This instance has lost the lease. It goes on answering until another holder is known, and
    /// tells the others to look for one.
    void step_down();

    /// No holder is known.
    void follow_nobody();

    /// The holder that is followed, or this instance; empty when none is known.
    state::instance_id holder() const;

    /// The others report to this instance.
    bool leads() const { return holder() == context_.settings.id; }

    /// Whether another holder should be looked for: none is known, or the one that is followed has
    /// no lease or has not answered for `silence`.
    bool needs_holder(state::duration silence) const;

private:
    net::awaitable<void> count_instances();
    void tick();
    void report_if_low();
    void see(std::uint64_t live, std::uint64_t known, state::duration valid);
    state::duration view_validity() const;
    state::duration silence() const;
    void tick_as_holder();
    void tick_as_follower(state::instance const& to);
    state::instance_report own_report(bool with_details);
    state::report_response view_for(state::instance_report const& report);
    void take_report(connection_number via, state::instance_report report);
    void take_view(state::report_response const& view);
    void take_mark(state::operator_rows_status const& mark, state::time_point reported_at);

    gateway_context& context_;
    peer_links& links_;
    directory_sync& directory_;
    std::vector<timer_subscription> subscriptions_;
    std::uint64_t ticks_ = 0;
    std::uint64_t sequence_ = 0;

    /// A report whose view may still arrive.
    struct sent_report
    {
        std::uint64_t sequence = 0;
        state::time_point at{};
    };

    mutable std::mutex mutex_;
    state::instance followed_; ///< empty when none is known
    state::time_point answered_at_{};
    bool acting_ = false; ///< the holder that is followed, or this instance, has the lease
    state::instance_incarnation fed_by_;      ///< holder whose directory updates were applied last
    state::directory_version fed_version_{0}; ///< in its count
    std::deque<sent_report> sent_;
    std::uint64_t known_ = 0;     ///< instances, by the last view or by their rows
    std::uint64_t live_ = 1;      ///< where this instance holds the duties
    std::uint64_t inherited_ = 0; ///< instances that were known when this one became the holder
    state::time_point leads_since_{};
};

} // namespace auburnweir::transport

#endif
