#ifndef AUBURNWEIR_TRANSPORT_GATEWAY_SERVER_HPP
#define AUBURNWEIR_TRANSPORT_GATEWAY_SERVER_HPP

#include "transport/gateway_context.hpp"

#include <functional>
#include <memory>

namespace auburnweir::transport
{

/// Ports to the platform, built for the worker that uses them.
struct owned_ports
{
    std::unique_ptr<request_dialect> dialect;
    std::unique_ptr<platform_format> format;
    std::unique_ptr<control_store> store;
    std::unique_ptr<fleet_api> fleet;
};

using port_factory = std::function<owned_ports(http_client&, state::counters&)>;

/// One `auburnweir-gateway` process with its components and workers.
class gateway_server
{
public:
    class builder;
    struct components;

    explicit gateway_server(std::unique_ptr<components> p);
    ~gateway_server();

    std::uint16_t caller_port() const;
    std::uint16_t ready_port() const;
    std::uint16_t metrics_port() const;
    std::uint16_t peer_port() const;
    std::uint16_t relay_port() const;

    /// Serves until SIGTERM or SIGINT, then drains the requests in progress.
    void run();

private:
    std::unique_ptr<components> components_;
};

class gateway_server::builder
{
public:
    builder& settings(protocol::gateway_settings value);
    builder& ports(port_factory value);
    builder& seed(std::uint64_t value);

    /// Sets the function that checks the settings' text again after SIGHUP.
    /// @param value  returns the text's findings
    builder& settings_check(std::function<state::findings()> value);

    /// @return null with `error` set when it can't listen on an address
    std::unique_ptr<gateway_server> build(std::string& error);

private:
    protocol::gateway_settings settings_;
    port_factory ports_;
    std::function<state::findings()> settings_check_;
    std::optional<std::uint64_t> seed_;
};

} // namespace auburnweir::transport

#endif
