#ifndef AUBURNWEIR_TRANSPORT_STORE_WATCH_HPP
#define AUBURNWEIR_TRANSPORT_STORE_WATCH_HPP

#include "transport/directory_sync.hpp"
#include "transport/peer_exchange.hpp"

namespace auburnweir::transport
{

/// Keeps the configuration and the directory of backend servers as the store has them.
class store_watch
{
public:
    store_watch(gateway_context& context, directory_sync& directory, peer_exchange const& peers);

    void start();

    /// True when both have been read once.
    bool has_read_all() const { return routes_were_read_ && servers_were_read_; }

private:
    net::awaitable<void> watch_configuration();
    net::awaitable<void> confirm_configuration();
    void apply_operator_listing(row_listing const& listing);
    net::awaitable<void> watch_directory();
    void apply_operator_rows(row_listing const& listing);
    void apply_rollout(requested_rollout const& move);
    void apply_configuration(std::string const& text);
    state::duration confirmation_age() const;
    void record_reachability(
        bool& reachable, std::string_view what, std::optional<store_error> error);

    gateway_context& context_;
    directory_sync& directory_;
    peer_exchange const& peers_;
    net::io_context& io_;
    state::row_version operator_version_; ///< changes of the operators up to it were taken
    bool watch_is_pending_ = false;       ///< the store holds the watch of the configuration
    bool routes_were_read_ = false;
    bool servers_were_read_ = false;
    bool configuration_reachable_ = true;
    bool directory_reachable_ = true;
};

} // namespace auburnweir::transport

#endif
