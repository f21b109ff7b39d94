#ifndef AUBURNWEIR_TRANSPORT_PEER_EXCHANGE_HPP
#define AUBURNWEIR_TRANSPORT_PEER_EXCHANGE_HPP

#include "coordination/directory_update_limiter.hpp"
#include "transport/directory_sync.hpp"
#include "transport/instance_registry.hpp"
#include "transport/peer_links.hpp"
#include "transport/relay_directory.hpp"

#include <deque>

namespace auburnweir::transport
{

/// Sends reports to the holder of the duties; as the holder, responds to the reports of the others.
/// Each instance has one link to the holder, so that links and messages grow linearly with the
/// number of instances and not with its square.
///
/// Without a holder, an instance uses only its local share of the limits. Thread-safe; no other
/// lock is held together with its lock. That of the rank is taken before the servers' table's.
class peer_exchange
{
public:
    peer_exchange(gateway_context& context, peer_links& links, directory_sync& directory);

    void start();

    /// Handles a message from an authenticated peer, on the thread of the links.
    void receive(connection_number via, protocol::peer_message message);

    /// Sends reports to `holder` from now on.
    void follow(state::instance_id holder, state::endpoint address);

    /// Responds to reports from now on.
    void serve_as_holder();

    /// Records that this instance has lost the lease. It responds to reports until another holder
    /// is known; its responses tell the followers to find one.
    void step_down();

    /// Records that no holder is known.
    void clear_holder();

    /// The holder to which this instance reports, or this instance; empty when none is known.
    state::instance_id holder() const;

    /// Whether the others report to this instance, also after it has lost the lease.
    bool is_holder() const { return holder() == context_.settings.id; }

    /// Whether to look up the holder: none is known, or the known one has no lease or has not
    /// responded for `max_silence`.
    bool needs_holder(state::duration max_silence) const;

    /// What the holder last reported about the operator's rows, with its age now; null when it has
    /// not responded lately.
    std::optional<state::operator_rows_status> holder_rows() const;

    /// Whether a holder has responded, or this instance is the holder.
    bool has_heard_of_holder() const;

    /// Known number of instances, including this one; 0 when it is not known yet.
    std::uint64_t instance_count() const;

    /// Rank of this instance among the known instances, as last learned.
    state::instance_rank rank() const;

private:
    /// What a report carries beside the use of quotas.
    enum class report_content : std::uint8_t
    {
        quotas_only,
        recent_usage, ///< and the other details
        all_usage     ///< the same, for a holder that knows none of it
    };

    net::awaitable<void> register_and_count_instances();
    void tick();
    void report_if_urgent();
    void apply_shares(
        std::uint64_t live_count, std::uint64_t instance_count, state::duration validity);
    /// Number of requests that a report carries; null when this instance knows of no limited
    /// server.
    std::optional<std::uint64_t> requests_to_report() const;
    void apply_traffic(std::optional<state::traffic_shares> const& traffic);
    void share_limits_as_holder();
    /// @param source  for the log: who counted the instances
    void apply_rank(state::instance_rank rank, std::string_view source);
    state::duration response_validity() const;
    state::duration holder_silence() const;
    void tick_as_holder();
    void tick_as_follower(state::instance const& holder, state::server_observations seen);
    /// @param seen  what this instance has seen of its servers, for a report with details
    state::instance_report make_report(
        report_content content, state::server_observations seen = {});
    /// Rates the servers by what this instance has seen since the last call. @return what it was
    state::server_observations observe_servers();
    void rate_servers_as_holder();
    void add_ratings(state::report_response& response, state::instance_report const& report);
    void apply_rating_update(
        state::instance_incarnation const& source, state::rating_update const& update);
    state::report_response response_to(state::instance_report const& report);
    void add_directory(state::report_response& response, state::instance_report const& report);
    void handle_report(connection_number via, state::instance_report report);
    void handle_report_response(state::report_response const& response);
    void apply_directory_update(
        state::instance_incarnation const& source, state::directory_update const& update,
        state::time_point reported_at);
    void confirm_configuration(
        state::operator_rows_status const& holder_rows, state::time_point reported_at);

    gateway_context& context_;
    peer_links& links_;
    directory_sync& directory_;
    instance_registry registry_;
    relay_directory relays_;
    std::vector<timer_subscription> subscriptions_;
    std::uint64_t report_periods_ = 0;
    state::instance_id reported_to_; ///< holder that the last report was sent to
    std::uint64_t sequence_ = 0;

    /// A report whose response may still arrive.
    struct pending_report
    {
        std::uint64_t sequence = 0;
        state::time_point at{};
    };

    mutable std::mutex mutex_;
    state::instance holder_; ///< may be this instance; empty when none is known
    state::time_point last_response_at_{};
    bool holder_has_lease_ = false; ///< the known holder, or this instance, has the lease
    state::instance_incarnation directory_source_;  ///< sender of the last applied directory update
    state::directory_version directory_version_{0}; ///< counted by `directory_source_`
    state::instance_incarnation rating_source_;     ///< sender of the last applied rating update
    state::rating_version rating_version_;          ///< counted by `rating_source_`
    state::time_point ratings_since_{};             ///< first update of `rating_source_`
    std::deque<pending_report> pending_reports_;
    std::optional<state::operator_rows_status> holder_rows_;   ///< as of `last_response_at_`
    coordination::directory_update_limiter directory_updates_; ///< used on the links' thread only
    std::uint64_t known_instances_ = 0; ///< by the last report response or by the instances' rows
    std::uint64_t live_instances_ = 1;  ///< maintained by the holder
    std::uint64_t instances_before_takeover_ = 0; ///< known when this instance became the holder
    state::time_point holder_since_{};
    /// As the holder: those instances that were known before have reported, or had time to.
    bool ranks_are_settled_ = false;
    state::time_point traffic_known_until_{}; ///< end of the last division of limits by traffic

    /// Held while the servers' table is told the rank, so that it gets the newest last.
    mutable std::mutex rank_mutex_;
    state::instance_rank rank_; ///< of this instance, as last learned; guarded by `rank_mutex_`
};

} // namespace auburnweir::transport

#endif
