#ifndef AUBURNWEIR_TRANSPORT_STORE_WATCH_HPP
#define AUBURNWEIR_TRANSPORT_STORE_WATCH_HPP

#include "transport/directory_sync.hpp"

namespace auburnweir::transport
{

/// Keeps the configuration and the directory of backend servers as the store has them.
class store_watch
{
public:
    store_watch(gateway_context& context, directory_sync& directory);

    void start();

    /// True when both have been read once.
    bool complete() const { return have_routes_ && have_servers_; }

private:
    net::awaitable<void> watch_configuration();
    net::awaitable<void> watch_directory();
    void take_operator_rows(row_listing const& listing);
    void take_move(ordered_move const& move);
    void take_configuration(std::string const& text);
    void note(bool& reachable, std::string_view what, std::optional<store_fault> fault);

    gateway_context& context_;
    directory_sync& directory_;
    net::io_context& io_;
    bool have_routes_ = false;
    bool have_servers_ = false;
    bool configuration_reachable_ = true;
    bool directory_reachable_ = true;
};

} // namespace auburnweir::transport

#endif
