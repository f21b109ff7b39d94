#ifndef AUBURNWEIR_TRANSPORT_STORE_WATCH_HPP
#define AUBURNWEIR_TRANSPORT_STORE_WATCH_HPP

#include "transport/directory_sync.hpp"
#include "transport/peer_exchange.hpp"
#include "transport/table_reader.hpp"

namespace auburnweir::transport
{

/// Keeps the configuration and the directory of backend servers up to date with the store.
class store_watch
{
public:
    store_watch(gateway_context& context, directory_sync& directory, peer_exchange const& peers);

    void start();

    /// Whether both were read at least once.
    bool has_read_all() const { return routes_were_read_ && servers_were_read_; }

private:
    net::awaitable<void> watch_configuration();
    net::awaitable<void> confirm_configuration();
    void apply_operator_reading(table_reading const& reading);
    net::awaitable<void> watch_directory();
    /// Whether the operator's rows that were read are known to be no older than what the store has
    /// acknowledged: an older copy of them confirms nothing.
    bool is_up_to_date(row_listing const& listing);
    void apply_operator_rows(row_listing const& listing);
    void apply_evacuations(table_reading const& reading);
    /// @param may_be_copied  the row may be older than the one that was applied before
    void apply_rollout(requested_rollout const& rollout, bool may_be_copied);
    void apply_configuration(std::string const& text);
    state::duration confirmation_age() const;
    bool holder_watches_rows() const;
    state::duration directory_period() const;
    state::duration max_retry_delay() const;
    void record_reachability(
        bool& reachable, std::string_view watch, std::optional<store_error> error);

    gateway_context& context_;
    directory_sync& directory_;
    peer_exchange const& peers_;
    net::io_context& io_;
    table_reader operator_rows_;
    table_reader directory_rows_;
    state::configuration_version listed_configuration_; ///< of the operator's row, as last read
    std::optional<state::time_point> outdated_since_;   ///< the row is older than acknowledged
    bool watch_is_pending_ = false; ///< a long poll of the operator rows is in progress
    bool routes_were_read_ = false;
    bool servers_were_read_ = false;
    bool configuration_reachable_ = true;
    bool directory_reachable_ = true;
};

} // namespace auburnweir::transport

#endif
