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
struct gateway_plan
{
    int gateways = 1;
    int backends = 2;
    int domains = 1; ///< failure domains; gateways and backends are dealt out in turn
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
    explicit gateway_deployment(gateway_plan plan);
    ~gateway_deployment();

    process& store() { return *store_; }
    process& backend(int index) { return *backends_.at(index); }
    process& gateway(int index) { return *gateways_.at(index); }
    std::uint16_t port(int index = 0) { return gateway(index).port("callers"); }

    /// Sends a request as a caller does.
    seen_reply send(
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
        int index, std::string const& condition = "ready", std::string const& version = "v1");
    void unlist_backend(int index);

    /// Calls of the duties that the platform got.
    json duties();

    double counter(int gateway, std::string const& name);
    void start_gateway(int index);

private:
    std::string domain(int index) const;

    gateway_plan plan_;
    std::string folder_;
    int version_ = 0;
    std::unique_ptr<process> store_;
    std::vector<std::unique_ptr<process>> backends_;
    std::vector<std::unique_ptr<process>> gateways_;
};

} // namespace auburnweir::tests

#endif
