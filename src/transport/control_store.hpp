#ifndef AUBURNWEIR_TRANSPORT_CONTROL_STORE_HPP
#define AUBURNWEIR_TRANSPORT_CONTROL_STORE_HPP

#include "coordination/true_time.hpp"
#include "state/ids.hpp"
#include "transport/asio.hpp"

#include <boost/outcome/result.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburnweir::transport
{

/// A table of the store.
using table_name = state::strong_id<struct table_tag>;

/// A row of a table; tables are not divided further here.
struct stored_row
{
    std::string key;
    std::string value;
    state::row_version version;
    bool removed = false; ///< only in changes
};

/// Rows as of one moment.
struct row_listing
{
    std::vector<stored_row> rows;
    state::row_version version; ///< of the whole store at that moment
    coordination::store_time store_time{0};
    state::time_point requested_at{};
    state::time_point received_at{};
};

enum class store_error : std::uint8_t
{
    unreachable,     ///< no answer: a write may have been done or may yet be
    refused,         ///< nothing was done
    history_dropped, ///< changes since the given version are not kept any more
    malformed        ///< an answer that can't be read
};

std::string_view name_of(store_error error);

template <class T>
using store_result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, store_error>;

/// A write of one row under the condition of its version; 0: it must not exist.
struct conditional_write
{
    table_name table;
    std::string key;
    std::string value;
    std::optional<state::row_version> expected_version; ///< null: in any case
};

struct write_applied
{
    state::row_version version;
    coordination::store_time store_time{0};
    state::time_point requested_at{};
    state::time_point received_at{};
};

/// The condition did not hold; nothing was written.
struct write_conflicted
{
};

using conditional_write_result = std::variant<write_applied, write_conflicted, store_error>;

/// Port: the store in which all lasts that instances share.
class control_store
{
public:
    virtual ~control_store() = default;

    virtual net::awaitable<store_result<row_listing>> read_table(
        table_name table, state::duration timeout) = 0;

    virtual net::awaitable<store_result<row_listing>> read_row(
        table_name table, std::string key, state::duration timeout) = 0;

    /// Rows that changed after `since`; waits up to `wait` for the first.
    virtual net::awaitable<store_result<row_listing>> read_changes(
        table_name table, state::row_version since, state::duration wait,
        state::duration timeout) = 0;

    virtual net::awaitable<conditional_write_result> write(
        conditional_write what, state::duration timeout) = 0;
};

} // namespace auburnweir::transport

#endif
