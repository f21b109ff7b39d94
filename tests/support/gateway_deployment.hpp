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

/// Folders below `folder`, each of which has another build's `auburnweir-gateway`.
std::vector<std::string> builds_in(std::string const& folder);

/// Size and settings of a deployment of gateways.
struct gateway_deployment_plan
{
    int gateways = 1;
    int backends = 2;
    bool proxied = false;    ///< connections pass the fault-injecting proxy
    bool may_be_cut = false; ///< gateways can be cut off from the backends, see `cut_off`
    std::string log_folder;  ///< for the gateways' logs; empty: warnings alone, until the end
    int failure_domains = 1; ///< gateways and backends are assigned round-robin
    /// With `proxied`: connections of gateways to backends do not pass the proxy.
    bool direct_backends = false;
    std::map<std::string, std::string> settings; ///< of `[gateway]`, over the defaults
    int route_timeout_ms = 4000;
    json organisations = json::array();        ///< of each configuration
    std::vector<std::string> backend_services; ///< of each backend; those beyond serve `desk`
    /// Folder with the gateway's program of each gateway; empty or beyond: this build's.
    std::vector<std::string> gateway_builds;
};

/// Real processes on loopback: the store, backend servers and gateways.
///
/// Routes of the host `calls.test`: `/safe/` (two attempts), `/once/` (one attempt),
/// `/stream/` (resumable stream) and `/flow/stream/` (stream that is not resumable).
class gateway_deployment
{
public:
    explicit gateway_deployment(gateway_deployment_plan plan);
    ~gateway_deployment();

    process& store() { return *store_; }
    process& backend(int index) { return *backends_.at(index); }
    process& gateway(int index) { return *gateways_.at(index); }
    std::uint16_t port(int index = 0) const;

    /// Ports of the proxy in front of a backend, the store and a gateway; the processes' own ports
    /// without a proxy.
    std::uint16_t backend_proxy_port(int index) const { return backend_proxy_ports_.at(index); }
    std::uint16_t store_proxy_port(int gateway) const { return store_proxy_ports_.at(gateway); }
    std::uint16_t caller_proxy_port(int gateway) const { return caller_proxy_ports_.at(gateway); }

    /// Sets faults of the proxy's connections on `proxy_port`.
    void set_proxy_faults(std::uint16_t proxy_port, json faults);

    /// Sends a POST request with the attempt id `id`. The deadline is 3 s unless `headers` set it.
    received_response send_request(
        std::string const& path, std::string const& id, header_list headers = {}, int gateway = 0);

    bool ready(int index);
    void wait_until_ready();

    /// Sets faults of a stand-in.
    static void control(process& standin, json const& body);

    /// Number of runs of a request, summed over all running backends.
    std::int64_t run_count(std::string const& id);

    /// The last request that a backend received.
    json last_request(int backend);

    /// Writes the next version of the configuration, with the routes above, after `change` has
    /// modified it.
    void configure(std::function<void(json&)> const& change = {});

    /// Writes the last configuration once more, as operators do when the store has lost it.
    void rewrite_configuration();

    /// Writes or removes a row of the operators.
    void write_operator_row(std::string const& key, json const& value);
    void remove_operator_row(std::string const& key);

    /// Makes the store keep a copy of its rows.
    void copy_store();

    /// Takes the store away for a moment and brings it back as it was at the last copy.
    void restore_store();

    /// Writes or removes a backend's row in the directory.
    void list_backend(
        int index, std::string const& server_state = "ready", std::string const& version = "v1",
        std::int64_t incarnation = 1000);
    void remove_backend(int index);

    /// Kills a backend and starts another one with the id `name` at its address. Only with
    /// `proxied`. The directory goes on naming the old one.
    void replace_backend(int index, std::string const& name);

    /// Starts a process at the address of a backend that was killed. Only without a proxy between
    /// gateways and backends.
    /// @param born  start time that it reports; 0: it reports none
    void start_backend(int index, std::string const& name, std::int64_t born);

    /// Writes a row of the directory that names a backend's address.
    void write_backend_row(std::string const& key, int index, json const& changes = {});

    /// Calls of holders' duties that the store has received.
    json duties();

    double counter(int gateway, std::string const& name);

    /// How connections of a gateway that is cut off from the backends fail.
    enum class cut_kind
    {
        refused, ///< new ones at once
        dropped, ///< new ones get no answer
        hanging  ///< as `dropped`, and open ones pass nothing any more
    };

    /// Cuts a gateway off from all backends until it is healed. With `proxied`,
    /// `refused` also resets the open connections of all gateways to the backends; else they live
    /// on.
    void cut_off(int gateway, cut_kind kind);
    void cut_off(int gateway, cut_kind kind, std::vector<int> const& backends);
    void heal(int gateway);

    /// Starts a gateway, or starts it again when its process has ended.
    void start_gateway(int index);

    /// Sets the build that a gateway runs when it is started the next time.
    void set_gateway_build(int index, std::string folder);

    /// A route of a configuration.
    json route(
        std::string const& name, std::string const& kind, int attempts,
        std::string const& service = "desk") const;

private:
    std::string domain(int index) const;
    std::string gateway_program(int index) const;
    std::string service_of_backend(int index) const;
    std::string cut_file(int gateway) const;
    std::string const& log_folder() const;

    gateway_deployment_plan plan_;
    std::string folder_;
    int version_ = 0;
    json configuration_; ///< last written
    std::uint16_t proxied_port(std::uint16_t port);

    std::unique_ptr<process> store_;
    std::unique_ptr<process> proxy_;
    std::vector<std::uint16_t> backend_proxy_ports_;
    std::vector<std::uint16_t> store_proxy_ports_;
    std::vector<std::uint16_t> caller_proxy_ports_;
    std::vector<std::unique_ptr<process>> backends_;
    std::vector<std::unique_ptr<process>> gateways_;
};

} // namespace auburnweir::tests

#endif
