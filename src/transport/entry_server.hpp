#ifndef AUBURNWEIR_TRANSPORT_ENTRY_SERVER_HPP
#define AUBURNWEIR_TRANSPORT_ENTRY_SERVER_HPP

#include "protocol/entry_settings.hpp"
#include "state/configuration.hpp"

#include <memory>
#include <optional>
#include <string>

namespace auburnweir::transport
{

/// Entry instance: owns the workers, the shared tables and the components that use them.
class entry_server
{
public:
    class builder;

    ~entry_server();

    std::uint16_t caller_port() const;
    std::uint16_t peer_port() const;

    /// Serves until the instance has stopped, after a signal (SIGTERM, SIGINT) or a reclaim notice
    /// of the platform.
    void run();

private:
    struct components;

    explicit entry_server(std::unique_ptr<components> p);

    std::unique_ptr<components> components_;
};

/// Builds an `entry_server`.
class entry_server::builder
{
public:
    builder& settings(protocol::entry_settings value);
    builder& configuration(state::configuration_ptr value);

    /// Seed of the workers' random number generators; random by default.
    builder& seed(std::uint64_t value);

    /// @param error  set to the reason if null is returned
    /// @return null when a listen address cannot be bound
    std::unique_ptr<entry_server> build(std::string& error);

private:
    protocol::entry_settings settings_;
    state::configuration_ptr configuration_;
    std::optional<std::uint64_t> seed_;
};

} // namespace auburnweir::transport

#endif
