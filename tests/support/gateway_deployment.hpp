#ifndef AUBURNWEIR_TESTS_GATEWAY_DEPLOYMENT_HPP
#define AUBURNWEIR_TESTS_GATEWAY_DEPLOYMENT_HPP

#include "support/caller.hpp"
#include "support/process.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburnweir::tests
{

/// Size and settings of a deployment of gateways.
struct gateway_deployment_plan
{
    int gateways = 1;
    int backends = 2;
    bool proxied = false;    ///< connections pass a proxy that can harm them
    std::string log_folder;  ///< folder for the gateways' logs; empty: not kept
    int failure_domains = 1; ///< failure domains; gateways and backends are dealt out in turn
    std::map<std::string, std::string> settings; ///< further lines of `[gateway]`
    json organisations = json::array();          ///< of the first configuration
};

/// Real processes on loopback: the store, backend servers and gateways.
///
/// Routes of the host `calls.test`: `/safe/` (two attempts), `/once/` (not to be repeated),
/// `/stream/` (resumable) and `/flow/stream/` (a stream that is not).
class gateway_deployment
{
public:
    explicit gateway_deployment(gateway_deployment_plan plan);
    ~gateway_deployment();

    process& store() { return *store_; }
    process& backend(int index) { return *backends_.at(index); }
    process& gateway(int index) { return *gateways_.at(index); }
    std::uint16_t port(int index = 0) const;

    /// Routes of the proxy, where there is one.
    std::uint16_t backend_proxy_port(int index) const { return backend_routes_.at(index); }
    std::uint16_t store_proxy_port(int gateway) const { return store_routes_.at(gateway); }
    std::uint16_t caller_proxy_port(int gateway) const { return caller_routes_.at(gateway); }

    /// Sets faults of a route of the proxy.
    void set_proxy_faults(std::uint16_t route, json faults);

    /// Sends a request as a caller does.
    received_response send(
        std::string const& path, std::string const& id, header_list headers = {}, int gateway = 0);

    bool ready(int index);
    void wait_until_ready();

    /// Sets faults of a stand-in.
    static void control(process& standin, json const& body);

    /// How often a request ran, at all backends together.
    std::int64_t runs(std::string const& id);

    /// The last request that a backend got.
    json last_request(int backend);

    /// Writes a configuration whose routes are as above, changed by `change`.
    void configure(std::function<void(json&)> const& change = {});

    /// Writes or removes a backend's row in the directory.
    void list_backend(
        int index, std::string const& condition = "ready", std::string const& version = "v1",
        std::int64_t life = 1000);
    void unlist_backend(int index);

    /// Calls of the duties that the platform got.
    json duties();

    double counter(int gateway, std::string const& name);
    void start_gateway(int index);

    json route(std::string const& name, std::string const& kind, int attempts) const;

private:
    std::string domain(int index) const;

    gateway_deployment_plan plan_;
    std::string folder_;
    int version_ = 0;
    std::uint16_t proxied_port(std::uint16_t port);

    std::unique_ptr<process> store_;
    std::unique_ptr<process> proxy_;
    std::vector<std::uint16_t> backend_routes_;
    std::vector<std::uint16_t> store_routes_;
    std::vector<std::uint16_t> caller_routes_;
    std::vector<std::unique_ptr<process>> backends_;
    std::vector<std::unique_ptr<process>> gateways_;
};

} // namespace auburnweir::tests

#endif
