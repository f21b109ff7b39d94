#ifndef AUBURNWEIR_STATE_TABLE_WRITE_HPP
#define AUBURNWEIR_STATE_TABLE_WRITE_HPP

#include "state/ids.hpp"

#include <string>
#include <variant>

/// Reads and conditional writes of the platform's table service, independent of their encoding.
namespace auburnweir::state
{

using row_key = strong_id<struct row_key_tag>;

/// Writes `value` if the row's version is `expect`; version 0 means that the row is absent.
struct table_write
{
    row_key key;
    row_version expect;
    std::string value;
    bool erase = false; ///< removes the row instead of writing it
};

struct table_row
{
    row_key key;
    row_version version;
    std::string value;
};

/// The write took effect.
struct write_done
{
    row_version version;
};

/// The row had another version; `current.version` is 0 when the row is absent.
struct write_conflict
{
    table_row current;
};

/// No response arrived: the write may or may not have taken effect.
struct write_response_lost
{
};

/// The service refused the write before it took effect.
struct write_refused
{
};

using write_result = std::variant<write_done, write_conflict, write_response_lost, write_refused>;

/// The row does not exist.
struct row_absent
{
};

/// The read failed.
struct read_failed
{
};

using read_result = std::variant<table_row, row_absent, read_failed>;

} // namespace auburnweir::state

#endif
