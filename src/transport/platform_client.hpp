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

/// Client of the platform's table service, object store, instance list and notices, for one
/// worker. Responses of the table service and the object store name no call, so each of their calls
/// has a connection of its own.
class platform_client
{
public:
    /// @param timeout  for one call
    platform_client(http_client& http, state::endpoint address, state::duration timeout);

    /// Runs one transaction. If any row conflicts, no row is written; the rows without a conflict
    /// get `write_refused` and may be retried.
    /// @return one result for each write, in the same order
    net::awaitable<std::vector<state::write_result>> transact(
        std::vector<state::table_write> writes);

    net::awaitable<state::read_result> read(state::row_key key);

    /// Reads at most `max_rows` rows whose key begins with `prefix`, after `after` in key order.
    /// @return null when the call failed
    net::awaitable<std::optional<std::vector<state::table_row>>> scan(
        std::string prefix, std::string after, std::size_t max_rows);

    /// Stores an object; storing the same object twice is harmless.
    /// @return false when the object may not have been stored
    net::awaitable<bool> put_object(std::string name, std::string content);

    /// @return null when the object does not exist or the call failed
    net::awaitable<std::optional<std::string>> read_object(std::string name);

    /// Reads the instance list if it is newer than `known_revision`.
    /// @return null when the call failed; revision 0 when the list is not newer
    net::awaitable<std::optional<instance_list>> read_instances(std::uint64_t known_revision);

    net::awaitable<std::optional<std::vector<protocol::reclaim_notice>>> read_notices();

private:
    net::awaitable<http_result<http_response>> call_alone(http_request request);
    static std::optional<std::string> body_of(http_result<http_response> response);

    http_client& http_;
    state::endpoint address_;
    state::duration timeout_;
};

} // namespace auburnweir::transport

#endif
