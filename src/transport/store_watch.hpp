#ifndef AUBURNWEIR_TRANSPORT_STORE_WATCH_HPP
#define AUBURNWEIR_TRANSPORT_STORE_WATCH_HPP

#include "transport/gateway_context.hpp"

#include <map>

namespace auburnweir::transport
{

/// Keeps the configuration and the directory of backend servers as the store has them.
class store_watch
{
public:
    explicit store_watch(gateway_context& context);

    void start();

    /// True when both have been read once.
    bool complete() const { return have_routes_ && have_servers_; }

private:
    net::awaitable<void> watch_configuration();
    net::awaitable<void> watch_directory();
    void take_operator_rows(row_listing const& listing);
    void take_configuration(std::string const& text);
    void take_servers(row_listing const& listing, bool whole);
    void take_server(stored_row const& row);
    void drop_server(state::backend_id const& id);
    void note(bool& reachable, std::string_view what, std::optional<store_fault> fault);

    gateway_context& context_;
    net::io_context& io_;
    bool have_routes_ = false;
    bool have_servers_ = false;
    bool configuration_reachable_ = true;
    bool directory_reachable_ = true;
    state::time_point directory_failed_at_{};
};

} // namespace auburnweir::transport

#endif
