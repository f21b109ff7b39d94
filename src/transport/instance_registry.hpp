#ifndef AUBURNWEIR_TRANSPORT_INSTANCE_REGISTRY_HPP
#define AUBURNWEIR_TRANSPORT_INSTANCE_REGISTRY_HPP

#include "transport/gateway_context.hpp"

#include <optional>

namespace auburnweir::transport
{

/// The store's table with a row for each instance that ever started. Used by the first worker.
class instance_registry
{
public:
    explicit instance_registry(gateway_context& context)
        : context_(context)
    {
    }

    /// Writes this instance's row; tries until the store has acknowledged it.
    net::awaitable<void> register_instance();

    /// Registers this instance once more when the store may have lost its row.
    void renew_registration();

    /// Reads the rank of this instance among those that have a row, and their number; tries until
    /// the store responds.
    net::awaitable<state::instance_rank> rank_among_instances();

private:
    net::awaitable<void> register_after_jitter();

    gateway_context& context_;
    std::optional<state::store_era> registered_in_; ///< null while a registration is under way
};

} // namespace auburnweir::transport

#endif
