#ifndef AUBURNWEIR_TRANSPORT_PLATFORM_FORMAT_HPP
#define AUBURNWEIR_TRANSPORT_PLATFORM_FORMAT_HPP

#include "state/finding.hpp"
#include "state/route_set.hpp"
#include "state/server_table.hpp"
#include "transport/control_store.hpp"

namespace auburnweir::transport
{

/// A version move that the operators ordered.
struct requested_rollout
{
    state::service_id service;
    state::version_id target;
    state::duration timeout{0}; ///< time limit, from the order on
};

/// Port: where the store keeps what operators and backend servers write, and in which format.
class platform_format
{
public:
    virtual ~platform_format() = default;

    virtual table_name operator_table() const = 0;
    virtual std::string configuration_key() const = 0;
    virtual table_name directory_table() const = 0;

    /// @return null with findings when the text is no configuration
    virtual state::route_set_ptr configuration(
        std::string const& text, state::findings& out) const = 0;

    /// @return null when the row names no backend server to use
    virtual std::optional<state::listed_server> server(
        std::string const& key, std::string const& text) const = 0;

    /// The move that a row of the operators' table orders; null when it orders none.
    virtual std::optional<requested_rollout> rollout_request(
        std::string const& key, std::string const& text) const = 0;
};

} // namespace auburnweir::transport

#endif
