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
    bool complete() const { return have_routes_ && have_servers_; }

private:
    net::awaitable<void> watch_configuration();
    net::awaitable<void> confirm_configuration();
    void take_operator_listing(row_listing const& listing);
    net::awaitable<void> watch_directory();
    void take_operator_rows(row_listing const& listing);
    void take_move(ordered_move const& move);
    void take_configuration(std::string const& text);
    state::duration confirmation_age() const;
    void note(bool& reachable, std::string_view what, std::optional<store_fault> fault);

    gateway_context& context_;
    directory_sync& directory_;
    peer_exchange const& peers_;
    net::io_context& io_;
    state::row_version operator_since_; ///< changes of the operators up to it were taken
    bool watch_held_ = false;           ///< the store holds the watch of the configuration
    bool have_routes_ = false;
    bool have_servers_ = false;
    bool configuration_reachable_ = true;
    bool directory_reachable_ = true;
};

} // namespace auburnweir::transport

#endif
