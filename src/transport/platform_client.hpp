#ifndef AUBURNWEIR_TRANSPORT_PLATFORM_CLIENT_HPP
#define AUBURNWEIR_TRANSPORT_PLATFORM_CLIENT_HPP

#include "protocol/platform_codec.hpp"
#include "state/table_write.hpp"
#include "transport/http_client.hpp"

#include <optional>
#include <string>
#include <vector>

namespace auburnweir::transport
{

/// The instance list at one revision.
struct instance_list
{
    std::uint64_t revision = 0;
    std::vector<state::instance> instances;
};

/// The platform's table service, object store, instance list and notices, for one worker.
class platform_client
{
public:
    /// @param limit  time for one call
    platform_client(http_client& http, state::endpoint address, state::duration limit);

    /// Runs one transaction. When rows conflict, none of the others is written; their result is
    /// `write_refused`, and they may be sent again.
    /// @return one result for each write, in their order
    net::awaitable<std::vector<state::write_result>> transact(
        std::vector<state::table_write> writes);

    net::awaitable<state::read_result> read(state::row_key key);

    /// Rows whose key begins with `prefix`, after `after` in key order.
    /// @return null when the call failed
    net::awaitable<std::optional<std::vector<state::table_row>>> scan(
        std::string prefix, std::string after, std::size_t limit);

    /// Stores an object; storing the same object again is harmless.
    /// @return false when it may not be stored
    net::awaitable<bool> put_object(std::string name, std::string content);

    /// @return null when the object is absent or the call failed
    net::awaitable<std::optional<std::string>> read_object(std::string name);

    /// The instance list if it is newer than `known_revision`.
    /// @return null when the call failed; an empty revision when nothing is new
    net::awaitable<std::optional<instance_list>> read_instances(std::uint64_t known_revision);

    net::awaitable<std::optional<std::vector<protocol::reclaim_notice>>> read_notices();

private:
    net::awaitable<std::optional<std::string>> fetch(std::string target);

    http_client& http_;
    state::endpoint address_;
    state::duration timeout_;
};

} // namespace auburnweir::transport

#endif
