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
    void serve_as_holder();

    /// This instance has lost the lease. It goes on answering until another holder is known, and
    /// tells the others to look for one.
    void step_down();

    /// No holder is known.
    void clear_holder();

    /// The holder that is followed, or this instance; empty when none is known.
    state::instance_id holder() const;

    /// The others report to this instance.
    bool is_holder() const { return holder() == context_.settings.id; }

    /// Whether another holder should be looked for: none is known, or the one that is followed has
    /// no lease or has not answered for `holder_silence`.
    bool needs_holder(state::duration holder_silence) const;

private:
    net::awaitable<void> register_and_count_instances();
    void tick();
    void report_if_quotas_run_low();
    void apply_shares(std::uint64_t live, std::uint64_t known, state::duration valid);
    state::duration response_validity() const;
    state::duration holder_silence() const;
    void tick_as_holder();
    void tick_as_follower(state::instance const& to);
    state::instance_report make_report(bool with_details);
    state::deployment_view response_to(state::instance_report const& report);
    void handle_report(connection_number via, state::instance_report report);
    void handle_report_response(state::deployment_view const& view);
    void confirm_configuration(
        state::operator_rows_mark const& mark, state::time_point reported_at);

    gateway_context& context_;
    peer_links& links_;
    directory_sync& directory_;
    std::vector<timer_subscription> subscriptions_;
    std::uint64_t report_periods_ = 0;
    std::uint64_t sequence_ = 0;

    /// A report whose view may still arrive.
    struct pending_report
    {
        std::uint64_t sequence = 0;
        state::time_point at{};
    };

    mutable std::mutex mutex_;
    state::instance holder_; ///< empty when none is known
    state::time_point last_response_at_{};
    bool holder_has_lease_ =
        false; ///< the holder that is followed, or this instance, has the lease
    state::usage_writer directory_source_; ///< holder whose directory updates were applied last
    state::directory_version directory_version_{0}; ///< in its count
    std::deque<pending_report> pending_reports_;
    std::uint64_t known_instances_ = 0; ///< instances, by the last view or by their rows
    std::uint64_t live_instances_ = 1;  ///< where this instance holds the duties
    std::uint64_t instances_before_takeover_ =
        0; ///< instances that were known when this one became the holder
    state::time_point holder_since_{};
};

} // namespace auburnweir::transport

#endif
