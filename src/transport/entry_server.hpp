#ifndef AUBURNWEIR_TRANSPORT_ENTRY_SERVER_HPP
#define AUBURNWEIR_TRANSPORT_ENTRY_SERVER_HPP

#include "protocol/entry_settings.hpp"
#include "state/configuration.hpp"

#include <memory>
#include <optional>
#include <string>

namespace auburnweir::transport
{

/// One entry instance: owns the workers, the shared tables and all managers.
class entry_server
{
public:
    class builder;

    ~entry_server();

    std::uint16_t caller_port() const;
    std::uint16_t peer_port() const;

    /// Serves until a stop has been carried out: by signal (SIGTERM, SIGINT) or by a notice of
    /// the platform.
    void run();

private:
    struct components;

    explicit entry_server(std::unique_ptr<components> p);

    std::unique_ptr<components> components_;
};

/// Puts an entry server together.
class entry_server::builder
{
public:
    builder& settings(protocol::entry_settings value);
    builder& configuration(state::configuration_ptr value);

    /// Seed of the workers' random numbers; without one it is random.
    builder& seed(std::uint64_t value);

    /// @param fault  gets the reason when there is no server
    /// @return null when an address can't be had
    std::unique_ptr<entry_server> build(std::string& error);

private:
    protocol::entry_settings settings_;
    state::configuration_ptr configuration_;
    std::optional<std::uint64_t> seed_;
};

} // namespace auburnweir::transport

#endif
