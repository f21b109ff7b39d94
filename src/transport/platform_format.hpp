#ifndef AUBURNWEIR_TRANSPORT_PLATFORM_FORMAT_HPP
#define AUBURNWEIR_TRANSPORT_PLATFORM_FORMAT_HPP

#include "state/finding.hpp"
#include "state/route_set.hpp"
#include "state/server_table.hpp"
#include "transport/control_store.hpp"

namespace auburnweir::transport
{

/// A rollout that the operators requested.
struct requested_rollout
{
    state::service_id service;
    state::version_id target;
    state::duration timeout{0}; ///< counted from the request
};

/// Port: tables, keys and formats of the rows that operators and backend servers write.
class platform_format
{
public:
    virtual ~platform_format() = default;

    virtual table_name operator_table() const = 0;
    virtual std::string configuration_key() const = 0;
    virtual table_name directory_table() const = 0;

    /// Decodes the configuration. @return null with findings when the text is not valid
    virtual state::route_set_ptr configuration(
        std::string const& text, state::findings& out) const = 0;

    /// Decodes a directory row. @return null when it describes no usable backend server
    virtual std::optional<state::listed_server> server(
        std::string const& key, std::string const& text) const = 0;

    /// Decodes an operator row. @return null when it requests no rollout
    virtual std::optional<requested_rollout> rollout_request(
        std::string const& key, std::string const& text) const = 0;

    /// The failure domain that an operator row of this key evacuates, whatever its value; null when
    /// the key is that of another row.
    virtual std::optional<state::failure_domain_id> evacuated_domain(
        std::string const& key) const = 0;
};

} // namespace auburnweir::transport

#endif
