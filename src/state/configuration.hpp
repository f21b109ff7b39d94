#ifndef AUBURNWEIR_STATE_CONFIGURATION_HPP
#define AUBURNWEIR_STATE_CONFIGURATION_HPP

#include "state/finding.hpp"
#include "state/ids.hpp"
#include "state/time.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Validated model of the operators' settings text.
namespace auburnweir::state
{

/// IP address and port of a process.
struct endpoint
{
    std::string host;
    std::uint16_t port = 0;

    friend auto operator<=>(endpoint const&, endpoint const&) = default;
};

/// Whether a backend server rejects orders with an outdated fencing number.
enum class fencing_mode
{
    checked,
    ignored
};

struct organisation
{
    organisation_id id;
    sha256_digest bearer_digest;
    double weight = 1.0; ///< share of tokens under contention, relative to the others
};

struct failure_domain
{
    failure_domain_id id;
    region_id region;
    price_per_hour price{0}; ///< of one backend server of the standard class
};

/// A service that answers chat completions from model engines.
struct engine_service
{
    token_count default_max_tokens{256};
};

/// A service of named operations; those not listed as idempotent run at most once.
struct plain_service
{
    std::set<operation_name> operations;
    std::set<operation_name> idempotent;
};

struct service
{
    service_id id;
    std::variant<engine_service, plain_service> kind;
    std::set<service_id> depends_on;
    duration latency_target{std::chrono::milliseconds{300}};
    std::int64_t queue_limit = 1000; ///< requests that may wait at one entry instance
};

struct backend_server
{
    backend_id id;
    service_id service;
    failure_domain_id failure_domain;
    endpoint address;
    version_id version;
    std::int64_t concurrency = 8; ///< requests it runs at once without queueing
    price_per_hour price{0};      ///< 0: the failure domain's price
    fencing_mode fencing = fencing_mode::checked;
};

/// Immutable, validated configuration. Workers share it by pointer.
class configuration
{
public:
    class builder;

    organisation const* find(organisation_id const& id) const;
    service const* find(service_id const& id) const;
    failure_domain const* find(failure_domain_id const& id) const;
    backend_server const* find(backend_id const& id) const;

    /// The organisation whose bearer token has this digest, or null.
    organisation const* organisation_of(sha256_digest const& digest) const;

    std::map<organisation_id, organisation> const& organisations() const { return organisations_; }
    std::map<failure_domain_id, failure_domain> const& failure_domains() const { return domains_; }
    std::map<service_id, service> const& services() const { return services_; }
    std::map<backend_id, backend_server> const& backends() const { return backends_; }

private:
    std::map<organisation_id, organisation> organisations_;
    std::map<sha256_digest, organisation_id> digests_;
    std::map<failure_domain_id, failure_domain> domains_;
    std::map<service_id, service> services_;
    std::map<backend_id, backend_server> backends_;
};

using configuration_ptr = std::shared_ptr<configuration const>;

/// Position of a section in the settings text, for findings.
struct text_location
{
    std::string file;
    int line = 0;
};

/// Collects sections and validates them together.
class configuration::builder
{
public:
    builder& add(organisation value, text_location location);
    builder& add(failure_domain value, text_location location);
    builder& add(service value, text_location location);
    builder& add(backend_server value, text_location location);

    /// Checks names, references and cycles, and appends findings to `out`.
    /// @return null when `out` holds any finding
    configuration_ptr build(findings& out);

private:
    template <class Id, class Value>
    builder& insert(std::map<Id, Value>& into, Value value, text_location location);
    void report(std::string const& section, std::string reason, findings& out) const;
    void check_references(findings& out) const;
    void check_cycles(findings& out) const;

    configuration model_;
    std::map<std::string, text_location> locations_;
    findings duplicates_;
};

} // namespace auburnweir::state

#endif
