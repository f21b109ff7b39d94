#ifndef AUBURNWEIR_TRANSPORT_CONTROL_STORE_HPP
#define AUBURNWEIR_TRANSPORT_CONTROL_STORE_HPP

#include "coordination/store_clock.hpp"
#include "state/ids.hpp"
#include "transport/asio.hpp"

#include <boost/outcome/result.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburnweir::transport
{

using table_name = state::strong_id<struct table_tag>;

/// A row of a table. The store's partitions within a table are not used.
struct stored_row
{
    std::string key;
    std::string value;
    state::row_version version;
    bool removed = false; ///< set only in a listing of changes
};

/// Rows of a table as of one store version.
struct row_listing
{
    std::vector<stored_row> rows;
    state::store_era era;
    state::row_version version; ///< of the whole store
    coordination::store_time store_time{0};
    state::time_point requested_at{};
    state::time_point received_at{};
};

enum class store_error : std::uint8_t
{
    unreachable,     ///< no response: a write may have been applied or may still be
    refused,         ///< nothing was applied
    history_dropped, ///< the store no longer keeps the changes since the given version
    outdated,        ///< the response is from before the store came back from a copy
    malformed        ///< the response can't be decoded
};

std::string_view name_of(store_error error);

template <class T>
using store_result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, store_error>;

/// A write of one row that is applied only if the row has the expected version.
struct conditional_write
{
    table_name table;
    std::string key;
    std::string value;
    std::optional<state::row_version> expected_version; ///< 0: no such row; null: no condition
};

struct write_applied
{
    state::store_era era;
    state::row_version version;
    coordination::store_time store_time{0};
    state::time_point requested_at{};
    state::time_point received_at{};
};

/// The row does not have the expected version; nothing was written.
struct write_conflicted
{
};

using conditional_write_result = std::variant<write_applied, write_conflicted, store_error>;

/// Port: the store that keeps the instances' shared durable state.
class control_store
{
public:
    virtual ~control_store() = default;

    virtual net::awaitable<store_result<row_listing>> read_table(
        table_name table, state::duration timeout) = 0;

    virtual net::awaitable<store_result<row_listing>> read_row(
        table_name table, std::string key, state::duration timeout) = 0;

    /// Reads the rows that changed after `since`; waits up to `wait` for the first change.
    virtual net::awaitable<store_result<row_listing>> read_changes(
        table_name table, state::row_version since, state::duration wait,
        state::duration timeout) = 0;

    virtual net::awaitable<conditional_write_result> write(
        conditional_write request, state::duration timeout) = 0;
};

} // namespace auburnweir::transport

#endif
